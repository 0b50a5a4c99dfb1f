#ifndef QUETZALLINE_TABLES_NO_JITTER_H_
#define QUETZALLINE_TABLES_NO_JITTER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Every wait is its ceiling.
class NoJitter {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-jitter";

  friend auto operator<=>(const NoJitter&, const NoJitter&) = default;

 private:
  QUETZALLINE_VALUE(NoJitter)
};

/// Builds one NoJitter; what is not set keeps its default.
class NoJitter::Builder : public ValueBuilder<NoJitter, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_NO_JITTER_H_
