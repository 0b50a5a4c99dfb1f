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

/// Who places the work of a cell.
class CellLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "cell-lease";

  const EntryId& holder() const { return holder_; }
  std::uint64_t incarnation() const { return incarnation_; }
  /// Where the holder's operators' API is reached.
  const std::string& address() const { return address_; }
  /// Grows with every renewal.
  std::uint64_t renewal() const { return renewal_; }
  /// The holder stepped down and keeps nothing in flight.
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

/// Builds one CellLease; what is not set keeps its default.
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
