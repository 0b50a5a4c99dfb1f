#ifndef QUETZALLINE_TABLES_CONFIRMING_EPOCH_H_
#define QUETZALLINE_TABLES_CONFIRMING_EPOCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the epoch's key to verify that this process still holds the cell.
class ConfirmingEpoch {
 public:
  class Builder;

  static constexpr std::string_view kName = "confirming-epoch";

  friend auto operator<=>(const ConfirmingEpoch&,
                          const ConfirmingEpoch&) = default;

 private:
  QUETZALLINE_VALUE(ConfirmingEpoch)
};

/// Builds a ConfirmingEpoch; fields that are not set keep their defaults.
class ConfirmingEpoch::Builder : public ValueBuilder<ConfirmingEpoch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CONFIRMING_EPOCH_H_
