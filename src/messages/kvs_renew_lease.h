#ifndef QUETZALLINE_MESSAGES_KVS_RENEW_LEASE_H_
#define QUETZALLINE_MESSAGES_KVS_RENEW_LEASE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Renews a lease.
class KvsRenewLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-renew-lease";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvsRenewLease&, const KvsRenewLease&) = default;

 private:
  QUETZALLINE_VALUE(KvsRenewLease, ticket_, lease_)

  std::uint64_t ticket_ = 0;
  std::uint64_t lease_ = 0;
};

/// Builds a KvsRenewLease; fields that are not set keep their defaults.
class KvsRenewLease::Builder : public ValueBuilder<KvsRenewLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_RENEW_LEASE_H_
