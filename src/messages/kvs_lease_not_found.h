#ifndef QUETZALLINE_MESSAGES_KVS_LEASE_NOT_FOUND_H_
#define QUETZALLINE_MESSAGES_KVS_LEASE_NOT_FOUND_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease does not exist; it may have expired.
class KvsLeaseNotFound {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-lease-gone";

  friend auto operator<=>(const KvsLeaseNotFound&,
                          const KvsLeaseNotFound&) = default;

 private:
  QUETZALLINE_VALUE(KvsLeaseNotFound)
};

/// Builds a KvsLeaseNotFound; fields that are not set keep their defaults.
class KvsLeaseNotFound::Builder
    : public ValueBuilder<KvsLeaseNotFound, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LEASE_NOT_FOUND_H_
