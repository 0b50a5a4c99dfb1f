#ifndef QUETZALLINE_MESSAGES_KVS_END_LEASE_H_
#define QUETZALLINE_MESSAGES_KVS_END_LEASE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Ends a lease; the store deletes the keys that are bound to it.
class KvsEndLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-end-lease";

  /// Identifies the call; the KvsAnswer repeats it.
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvsEndLease&, const KvsEndLease&) = default;

 private:
  QUETZALLINE_VALUE(KvsEndLease, ticket_, lease_)

  std::uint64_t ticket_ = 0;
  std::uint64_t lease_ = 0;
};

/// Builds a KvsEndLease; fields that are not set keep their defaults.
class KvsEndLease::Builder : public ValueBuilder<KvsEndLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_END_LEASE_H_
