#ifndef QUETZALLINE_TABLES_CALLER_WAITING_H_
#define QUETZALLINE_TABLES_CALLER_WAITING_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A submission or cancellation of a job that waits for the store before it is
/// answered.
class CallerWaiting {
 public:
  class Builder;

  static constexpr std::string_view kName = "caller-waiting";

  /// Connection of the entry that forwarded the call.
  ConnectionId connection() const { return connection_; }
  /// Identifies the call on that connection.
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t job() const { return job_; }
  /// Returns true for a cancellation, false for a submission.
  bool withdraws() const { return withdraws_; }
  /// Time at which the call arrived.
  Instant since() const { return since_; }

  friend auto operator<=>(const CallerWaiting&, const CallerWaiting&) = default;

 private:
  QUETZALLINE_VALUE(CallerWaiting, connection_, ticket_, job_, withdraws_,
                    since_)

  ConnectionId connection_ = ConnectionId{};
  std::uint64_t ticket_ = 0;
  std::uint64_t job_ = 0;
  bool withdraws_ = false;
  Instant since_ = Instant{};
};

/// Builds a CallerWaiting; fields that are not set keep their defaults.
class CallerWaiting::Builder : public ValueBuilder<CallerWaiting, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& withdraws(bool value) { return Set(value_.withdraws_, value); }
  Builder& since(Instant value) { return Set(value_.since_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_CALLER_WAITING_H_
