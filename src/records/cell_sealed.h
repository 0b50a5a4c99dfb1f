#ifndef QUETZALLINE_RECORDS_CELL_SEALED_H_
#define QUETZALLINE_RECORDS_CELL_SEALED_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A new holder took over the cell. Writes of lower epochs are void.
class CellSealed {
 public:
  class Builder;

  static constexpr std::string_view kName = "cell-sealed";

  /// Fencing token of the holder; increases with each holder.
  std::uint64_t epoch() const { return epoch_; }
  const EntryId& holder() const { return holder_; }
  /// Incarnation of the holder, by which it recognizes its own write.
  std::uint64_t nonce() const { return nonce_; }

  friend auto operator<=>(const CellSealed&, const CellSealed&) = default;

 private:
  QUETZALLINE_VALUE(CellSealed, epoch_, holder_, nonce_)

  std::uint64_t epoch_ = 0;
  EntryId holder_;
  std::uint64_t nonce_ = 0;
};

/// Builds a CellSealed; fields that are not set keep their defaults.
class CellSealed::Builder : public ValueBuilder<CellSealed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& holder(EntryId value) {
    return Set(value_.holder_, std::move(value));
  }
  Builder& nonce(std::uint64_t value) { return Set(value_.nonce_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CELL_SEALED_H_
