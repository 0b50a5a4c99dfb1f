#ifndef QUETZALLINE_MESSAGES_KV_LEASE_GONE_H_
#define QUETZALLINE_MESSAGES_KV_LEASE_GONE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// There is no such lease.
class KvLeaseGone {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-lease-gone";

  friend auto operator<=>(const KvLeaseGone&, const KvLeaseGone&) = default;

 private:
  QUETZALLINE_VALUE(KvLeaseGone)
};

/// Builds one KvLeaseGone; what is not set keeps its default.
class KvLeaseGone::Builder : public ValueBuilder<KvLeaseGone, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_LEASE_GONE_H_
