#ifndef QUETZALLINE_MESSAGES_READ_PENDING_COUNT_H_
#define QUETZALLINE_MESSAGES_READ_PENDING_COUNT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// An entry requests the number of jobs of a queue that have not started.
class ReadPendingCount {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-pending";

  /// Ticket of the caller's JobCall; the reply repeats it.
  std::uint64_t ticket() const { return ticket_; }
  /// Name of the queue.
  const std::string& queue() const { return queue_; }

  friend auto operator<=>(const ReadPendingCount&,
                          const ReadPendingCount&) = default;

 private:
  QUETZALLINE_VALUE(ReadPendingCount, ticket_, queue_)

  std::uint64_t ticket_ = 0;
  std::string queue_;
};

/// Builds a ReadPendingCount; fields that are not set keep their defaults.
class ReadPendingCount::Builder
    : public ValueBuilder<ReadPendingCount, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& queue(std::string value) {
    return Set(value_.queue_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_PENDING_COUNT_H_
