#ifndef QUETZALLINE_MESSAGES_KV_LEASE_OPENED_H_
#define QUETZALLINE_MESSAGES_KV_LEASE_OPENED_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The lease that was opened.
class KvLeaseOpened {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-lease-opened";

  std::uint64_t lease() const { return lease_; }

  friend auto operator<=>(const KvLeaseOpened&, const KvLeaseOpened&) = default;

 private:
  QUETZALLINE_VALUE(KvLeaseOpened, lease_)

  std::uint64_t lease_ = 0;
};

/// Builds one KvLeaseOpened; what is not set keeps its default.
class KvLeaseOpened::Builder : public ValueBuilder<KvLeaseOpened, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_LEASE_OPENED_H_
