#ifndef QUETZALLINE_MESSAGES_KV_LEASE_RENEWED_H_
#define QUETZALLINE_MESSAGES_KV_LEASE_RENEWED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease runs anew.
class KvLeaseRenewed {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-lease-renewed";

  friend auto operator<=>(const KvLeaseRenewed&,
                          const KvLeaseRenewed&) = default;

 private:
  QUETZALLINE_VALUE(KvLeaseRenewed)
};

/// Builds one KvLeaseRenewed; what is not set keeps its default.
class KvLeaseRenewed::Builder : public ValueBuilder<KvLeaseRenewed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_LEASE_RENEWED_H_
