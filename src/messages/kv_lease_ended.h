#ifndef QUETZALLINE_MESSAGES_KV_LEASE_ENDED_H_
#define QUETZALLINE_MESSAGES_KV_LEASE_ENDED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease is over.
class KvLeaseEnded {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-lease-ended";

  friend auto operator<=>(const KvLeaseEnded&, const KvLeaseEnded&) = default;

 private:
  QUETZALLINE_VALUE(KvLeaseEnded)
};

/// Builds one KvLeaseEnded; what is not set keeps its default.
class KvLeaseEnded::Builder : public ValueBuilder<KvLeaseEnded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_LEASE_ENDED_H_
