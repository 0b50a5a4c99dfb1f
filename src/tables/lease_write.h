#ifndef QUETZALLINE_TABLES_LEASE_WRITE_H_
#define QUETZALLINE_TABLES_LEASE_WRITE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The call acquires, renews or releases the cell's lease.
class LeaseWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "lease-write";

  /// Time of the call, from which the lease is counted.
  Instant asked() const { return asked_; }
  /// Number of the renewal that is written.
  std::uint64_t renewal() const { return renewal_; }
  /// Returns true if the call releases the lease.
  bool released() const { return released_; }

  friend auto operator<=>(const LeaseWrite&, const LeaseWrite&) = default;

 private:
  QUETZALLINE_VALUE(LeaseWrite, asked_, renewal_, released_)

  Instant asked_ = Instant{};
  std::uint64_t renewal_ = 0;
  bool released_ = false;
};

/// Builds a LeaseWrite; fields that are not set keep their defaults.
class LeaseWrite::Builder : public ValueBuilder<LeaseWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& asked(Instant value) { return Set(value_.asked_, value); }
  Builder& renewal(std::uint64_t value) { return Set(value_.renewal_, value); }
  Builder& released(bool value) { return Set(value_.released_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LEASE_WRITE_H_
