#ifndef QUETZALLINE_TABLES_CLAIMING_CELL_H_
#define QUETZALLINE_TABLES_CLAIMING_CELL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Writes a new epoch with this process as its holder.
class ClaimingCell {
 public:
  class Builder;

  static constexpr std::string_view kName = "claiming-cell";

  friend auto operator<=>(const ClaimingCell&, const ClaimingCell&) = default;

 private:
  QUETZALLINE_VALUE(ClaimingCell)
};

/// Builds a ClaimingCell; fields that are not set keep their defaults.
class ClaimingCell::Builder : public ValueBuilder<ClaimingCell, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CLAIMING_CELL_H_
