#ifndef QUETZALLINE_TABLES_CALLER_WAITING_H_
#define QUETZALLINE_TABLES_CALLER_WAITING_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// An entry that waits for a job to be kept.
class CallerWaiting {
 public:
  class Builder;

  static constexpr std::string_view kName = "caller-waiting";

  ConnectionId connection() const { return connection_; }
  std::uint64_t ticket() const { return ticket_; }
  std::uint64_t job() const { return job_; }
  bool withdraws() const { return withdraws_; }
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

/// Builds one CallerWaiting; what is not set keeps its default.
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
