#ifndef QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_
#define QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Opens a lease, with which keys end.
class KvsOpenLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-open-lease";

  std::uint64_t ticket() const { return ticket_; }
  Duration time() const { return time_; }

  friend auto operator<=>(const KvsOpenLease&, const KvsOpenLease&) = default;

 private:
  QUETZALLINE_VALUE(KvsOpenLease, ticket_, time_)

  std::uint64_t ticket_ = 0;
  Duration time_ = Duration{};
};

/// Builds one KvsOpenLease; what is not set keeps its default.
class KvsOpenLease::Builder : public ValueBuilder<KvsOpenLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& time(Duration value) { return Set(value_.time_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_OPEN_LEASE_H_
