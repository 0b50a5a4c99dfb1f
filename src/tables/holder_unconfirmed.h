#ifndef QUETZALLINE_TABLES_HOLDER_UNCONFIRMED_H_
#define QUETZALLINE_TABLES_HOLDER_UNCONFIRMED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The holder starts nothing, since neither a majority of the runners nor the
/// store has shown lately that it still holds the cell.
class HolderUnconfirmed {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-unconfirmed";

  friend auto operator<=>(const HolderUnconfirmed&,
                          const HolderUnconfirmed&) = default;

 private:
  QUETZALLINE_VALUE(HolderUnconfirmed)
};

/// Builds a HolderUnconfirmed; fields that are not set keep their defaults.
class HolderUnconfirmed::Builder
    : public ValueBuilder<HolderUnconfirmed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_UNCONFIRMED_H_
