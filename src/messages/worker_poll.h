#ifndef QUETZALLINE_MESSAGES_WORKER_POLL_H_
#define QUETZALLINE_MESSAGES_WORKER_POLL_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Polls the status of the worker: renews its lease and lists its runs and
/// completions.
class WorkerPoll {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-hold";

  /// Identifies the call; the WorkerAnswer repeats it.
  std::uint64_t call() const { return call_; }
  /// Id of the worker that the call is meant for.
  const std::string& worker() const { return worker_; }
  /// Incarnation of the worker on whose clock the lease ends: its start time in
  /// Unix milliseconds. No other incarnation may receive the lease, as its
  /// clock shows another time.
  std::int64_t born_ms() const { return born_ms_; }
  /// Time at which the worker stops all its runs unless the lease is renewed,
  /// in milliseconds of the worker's clock. 0 if the lease is not renewed.
  std::int64_t lease_end_ms() const { return lease_end_ms_; }
  /// Highest acknowledged completion number; the worker may discard completions
  /// up to it.
  std::int64_t last_seen() const { return last_seen_; }
  /// Fencing token; the worker rejects a call with a lower token than it has
  /// seen.
  std::int64_t fence() const { return fence_; }
  /// Longest time that the worker delays its answer to wait for a completion.
  Duration wait() const { return wait_; }

  friend auto operator<=>(const WorkerPoll&, const WorkerPoll&) = default;

 private:
  QUETZALLINE_VALUE(WorkerPoll, call_, worker_, born_ms_, lease_end_ms_,
                    last_seen_, fence_, wait_)

  std::uint64_t call_ = 0;
  std::string worker_;
  std::int64_t born_ms_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t last_seen_ = 0;
  std::int64_t fence_ = 0;
  Duration wait_ = Duration{};
};

/// Builds a WorkerPoll; fields that are not set keep their defaults.
class WorkerPoll::Builder : public ValueBuilder<WorkerPoll, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& lease_end_ms(std::int64_t value) {
    return Set(value_.lease_end_ms_, value);
  }
  Builder& last_seen(std::int64_t value) {
    return Set(value_.last_seen_, value);
  }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
  Builder& wait(Duration value) { return Set(value_.wait_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_POLL_H_
