#ifndef QUETZALLINE_MESSAGES_KVS_LEASE_OPENED_H_
#define QUETZALLINE_MESSAGES_KVS_LEASE_OPENED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A lease was opened.
class KvsLeaseOpened {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-lease-opened";

  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvsLeaseOpened&,
                          const KvsLeaseOpened&) = default;

 private:
  QUETZALLINE_VALUE(KvsLeaseOpened, lease_)

  std::uint64_t lease_ = 0;
};

/// Builds a KvsLeaseOpened; fields that are not set keep their defaults.
class KvsLeaseOpened::Builder : public ValueBuilder<KvsLeaseOpened, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_LEASE_OPENED_H_
