#ifndef QUETZALLINE_TABLES_REPLAYING_H_
#define QUETZALLINE_TABLES_REPLAYING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease is taken and the journal is being read.
class Replaying {
 public:
  class Builder;

  static constexpr std::string_view kName = "replaying";

  friend auto operator<=>(const Replaying&, const Replaying&) = default;

 private:
  QUETZALLINE_VALUE(Replaying)
};

/// Builds one Replaying; what is not set keeps its default.
class Replaying::Builder : public ValueBuilder<Replaying, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REPLAYING_H_
