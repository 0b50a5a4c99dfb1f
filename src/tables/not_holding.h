#ifndef QUETZALLINE_TABLES_NOT_HOLDING_H_
#define QUETZALLINE_TABLES_NOT_HOLDING_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Another process holds the cell, or none does.
class NotHolding {
 public:
  class Builder;

  static constexpr std::string_view kName = "not-holding";

  friend auto operator<=>(const NotHolding&, const NotHolding&) = default;

 private:
  QUETZALLINE_VALUE(NotHolding)
};

/// Builds one NotHolding; what is not set keeps its default.
class NotHolding::Builder : public ValueBuilder<NotHolding, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_NOT_HOLDING_H_
