#ifndef QUETZALLINE_RECORDS_CELL_LEASE_H_
#define QUETZALLINE_RECORDS_CELL_LEASE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The leader lease of a cell. The entry that holds it, the holder, places the
/// tasks of the cell.
class CellLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "cell-lease";

  const EntryId& holder() const { return holder_; }
  /// Incarnation of the holder.
  std::uint64_t incarnation() const { return incarnation_; }
  /// URL of the operator API of the holder.
  const std::string& address() const { return address_; }
  /// Increases with every renewal.
  std::uint64_t renewal() const { return renewal_; }
  /// True if the holder stepped down and has nothing in flight.
  bool released() const { return released_; }

  friend auto operator<=>(const CellLease&, const CellLease&) = default;

 private:
  QUETZALLINE_VALUE(CellLease, holder_, incarnation_, address_, renewal_,
                    released_)

  EntryId holder_;
  std::uint64_t incarnation_ = 0;
  std::string address_;
  std::uint64_t renewal_ = 0;
  bool released_ = false;
};

/// Builds a CellLease; fields that are not set keep their defaults.
class CellLease::Builder : public ValueBuilder<CellLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& holder(EntryId value) {
    return Set(value_.holder_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
  Builder& renewal(std::uint64_t value) { return Set(value_.renewal_, value); }
  Builder& released(bool value) { return Set(value_.released_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CELL_LEASE_H_
