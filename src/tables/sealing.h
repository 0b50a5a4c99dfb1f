#ifndef QUETZALLINE_TABLES_SEALING_H_
#define QUETZALLINE_TABLES_SEALING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The journal was read and is being sealed against the holder before.
class Sealing {
 public:
  class Builder;

  static constexpr std::string_view kName = "sealing";

  friend auto operator<=>(const Sealing&, const Sealing&) = default;

 private:
  QUETZALLINE_VALUE(Sealing)
};

/// Builds one Sealing; what is not set keeps its default.
class Sealing::Builder : public ValueBuilder<Sealing, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SEALING_H_
