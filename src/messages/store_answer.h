#ifndef QUETZALLINE_MESSAGES_STORE_ANSWER_H_
#define QUETZALLINE_MESSAGES_STORE_ANSWER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "messages/store_result.h"

namespace quetzalline {

/// Result of a call to the store.
class StoreAnswer {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-answer";

  /// Ticket of the call.
  std::uint64_t ticket() const { return ticket_; }
  const StoreResult& result() const { return result_; }

  friend auto operator<=>(const StoreAnswer&, const StoreAnswer&) = default;

 private:
  QUETZALLINE_VALUE(StoreAnswer, ticket_, result_)

  std::uint64_t ticket_ = 0;
  StoreResult result_;
};

/// Builds a StoreAnswer; fields that are not set keep their defaults.
class StoreAnswer::Builder : public ValueBuilder<StoreAnswer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& result(StoreResult value) {
    return Set(value_.result_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_ANSWER_H_
