#ifndef QUETZALLINE_MESSAGES_PENDING_COUNT_REPLY_H_
#define QUETZALLINE_MESSAGES_PENDING_COUNT_REPLY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Returns the number of jobs of a queue that have not started.
class PendingCountReply {
 public:
  class Builder;

  static constexpr std::string_view kName = "pending-told";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }
  std::int64_t count() const { return count_; }

  friend auto operator<=>(const PendingCountReply&,
                          const PendingCountReply&) = default;

 private:
  QUETZALLINE_VALUE(PendingCountReply, ticket_, count_)

  std::uint64_t ticket_ = 0;
  std::int64_t count_ = 0;
};

/// Builds a PendingCountReply; fields that are not set keep their defaults.
class PendingCountReply::Builder
    : public ValueBuilder<PendingCountReply, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& count(std::int64_t value) { return Set(value_.count_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PENDING_COUNT_REPLY_H_
