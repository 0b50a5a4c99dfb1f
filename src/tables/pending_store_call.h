#ifndef QUETZALLINE_TABLES_PENDING_STORE_CALL_H_
#define QUETZALLINE_TABLES_PENDING_STORE_CALL_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "tables/store_purpose.h"

namespace quetzalline {

/// A store call that has not been answered.
class PendingStoreCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "pending-store-call";

  std::uint64_t ticket() const { return ticket_; }
  const StorePurpose& purpose() const { return purpose_; }

  friend auto operator<=>(const PendingStoreCall&,
                          const PendingStoreCall&) = default;

 private:
  QUETZALLINE_VALUE(PendingStoreCall, ticket_, purpose_)

  std::uint64_t ticket_ = 0;
  StorePurpose purpose_;
};

/// Builds a PendingStoreCall; fields that are not set keep their defaults.
class PendingStoreCall::Builder
    : public ValueBuilder<PendingStoreCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& purpose(StorePurpose value) {
    return Set(value_.purpose_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PENDING_STORE_CALL_H_
