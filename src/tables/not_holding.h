#ifndef QUETZALLINE_TABLES_NOT_HOLDING_H_
#define QUETZALLINE_TABLES_NOT_HOLDING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// This process does not hold the cell.
class NotHolding {
 public:
  class Builder;

  static constexpr std::string_view kName = "not-holding";

  friend auto operator<=>(const NotHolding&, const NotHolding&) = default;

 private:
  QUETZALLINE_VALUE(NotHolding)
};

/// Builds a NotHolding; fields that are not set keep their defaults.
class NotHolding::Builder : public ValueBuilder<NotHolding, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_NOT_HOLDING_H_
