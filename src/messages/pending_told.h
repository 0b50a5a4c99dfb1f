#ifndef QUETZALLINE_MESSAGES_PENDING_TOLD_H_
#define QUETZALLINE_MESSAGES_PENDING_TOLD_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Returns the number of jobs of a queue that have not started.
class PendingTold {
 public:
  class Builder;

  static constexpr std::string_view kName = "pending-told";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }
  std::int64_t count() const { return count_; }

  friend auto operator<=>(const PendingTold&, const PendingTold&) = default;

 private:
  QUETZALLINE_VALUE(PendingTold, ticket_, count_)

  std::uint64_t ticket_ = 0;
  std::int64_t count_ = 0;
};

/// Builds a PendingTold; fields that are not set keep their defaults.
class PendingTold::Builder : public ValueBuilder<PendingTold, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& count(std::int64_t value) { return Set(value_.count_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PENDING_TOLD_H_
