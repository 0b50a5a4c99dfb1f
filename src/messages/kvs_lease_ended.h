#ifndef QUETZALLINE_MESSAGES_KVS_LEASE_ENDED_H_
#define QUETZALLINE_MESSAGES_KVS_LEASE_ENDED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease was ended.
class KvsLeaseEnded {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-lease-ended";

  friend auto operator<=>(const KvsLeaseEnded&, const KvsLeaseEnded&) = default;

 private:
  QUETZALLINE_VALUE(KvsLeaseEnded)
};

/// Builds a KvsLeaseEnded; fields that are not set keep their defaults.
class KvsLeaseEnded::Builder : public ValueBuilder<KvsLeaseEnded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LEASE_ENDED_H_
