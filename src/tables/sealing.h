#ifndef QUETZALLINE_TABLES_SEALING_H_
#define QUETZALLINE_TABLES_SEALING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The journal was read and is being sealed, so that the previous holder can no
/// longer append to it.
class Sealing {
 public:
  class Builder;

  static constexpr std::string_view kName = "sealing";

  friend auto operator<=>(const Sealing&, const Sealing&) = default;

 private:
  QUETZALLINE_VALUE(Sealing)
};

/// Builds a Sealing; fields that are not set keep their defaults.
class Sealing::Builder : public ValueBuilder<Sealing, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SEALING_H_
