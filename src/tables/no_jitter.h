#ifndef QUETZALLINE_TABLES_NO_JITTER_H_
#define QUETZALLINE_TABLES_NO_JITTER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Every backoff is its upper bound.
class NoJitter {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-jitter";

  friend auto operator<=>(const NoJitter&, const NoJitter&) = default;

 private:
  QUETZALLINE_VALUE(NoJitter)
};

/// Builds a NoJitter; fields that are not set keep their defaults.
class NoJitter::Builder : public ValueBuilder<NoJitter, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_NO_JITTER_H_
