#ifndef QUETZALLINE_TABLES_HALF_JITTER_H_
#define QUETZALLINE_TABLES_HALF_JITTER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Half of a backoff is fixed, the other half is drawn uniformly.
class HalfJitter {
 public:
  class Builder;

  static constexpr std::string_view kName = "half-jitter";

  friend auto operator<=>(const HalfJitter&, const HalfJitter&) = default;

 private:
  QUETZALLINE_VALUE(HalfJitter)
};

/// Builds a HalfJitter; fields that are not set keep their defaults.
class HalfJitter::Builder : public ValueBuilder<HalfJitter, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HALF_JITTER_H_
