#ifndef QUETZALLINE_MESSAGES_KVS_LEASE_GONE_H_
#define QUETZALLINE_MESSAGES_KVS_LEASE_GONE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease does not exist; it may have expired.
class KvsLeaseGone {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-lease-gone";

  friend auto operator<=>(const KvsLeaseGone&, const KvsLeaseGone&) = default;

 private:
  QUETZALLINE_VALUE(KvsLeaseGone)
};

/// Builds a KvsLeaseGone; fields that are not set keep their defaults.
class KvsLeaseGone::Builder : public ValueBuilder<KvsLeaseGone, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LEASE_GONE_H_
