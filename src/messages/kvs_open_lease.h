#ifndef QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_
#define QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Opens a lease. Keys can be bound to it and are deleted when it ends.
class KvsOpenLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-open-lease";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  /// Time to live of the lease unless it is renewed.
  Duration time() const { return time_; }

  friend auto operator<=>(const KvsOpenLease&, const KvsOpenLease&) = default;

 private:
  QUETZALLINE_VALUE(KvsOpenLease, ticket_, time_)

  std::uint64_t ticket_ = 0;
  Duration time_ = Duration{};
};

/// Builds a KvsOpenLease; fields that are not set keep their defaults.
class KvsOpenLease::Builder : public ValueBuilder<KvsOpenLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& time(Duration value) { return Set(value_.time_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_
