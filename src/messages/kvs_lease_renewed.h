#ifndef QUETZALLINE_MESSAGES_KVS_LEASE_RENEWED_H_
#define QUETZALLINE_MESSAGES_KVS_LEASE_RENEWED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease was renewed for its full time.
class KvsLeaseRenewed {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-lease-renewed";

  friend auto operator<=>(const KvsLeaseRenewed&,
                          const KvsLeaseRenewed&) = default;

 private:
  QUETZALLINE_VALUE(KvsLeaseRenewed)
};

/// Builds a KvsLeaseRenewed; fields that are not set keep their defaults.
class KvsLeaseRenewed::Builder : public ValueBuilder<KvsLeaseRenewed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LEASE_RENEWED_H_
