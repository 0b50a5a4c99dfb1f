#ifndef QUETZALLINE_TABLES_FULL_JITTER_H_
#define QUETZALLINE_TABLES_FULL_JITTER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A backoff is drawn uniformly between zero and its upper bound.
class FullJitter {
 public:
  class Builder;

  static constexpr std::string_view kName = "full-jitter";

  friend auto operator<=>(const FullJitter&, const FullJitter&) = default;

 private:
  QUETZALLINE_VALUE(FullJitter)
};

/// Builds a FullJitter; fields that are not set keep their defaults.
class FullJitter::Builder : public ValueBuilder<FullJitter, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_FULL_JITTER_H_
