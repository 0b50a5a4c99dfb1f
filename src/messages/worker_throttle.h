#ifndef QUETZALLINE_MESSAGES_WORKER_THROTTLE_H_
#define QUETZALLINE_MESSAGES_WORKER_THROTTLE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Throttles a run on the worker to a share of its full speed.
class WorkerThrottle {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-pace";

  /// Identifies the call; the WorkerAnswer repeats it.
  std::uint64_t call() const { return call_; }
  /// Id of the worker that the call is meant for.
  const std::string& worker() const { return worker_; }
  const RunKey& run() const { return run_; }
  /// CPU rate limit in percent of full speed; 0 suspends the run.
  std::int32_t percent() const { return percent_; }
  /// Fencing token; the worker rejects a call with a lower token than it has
  /// seen.
  std::int64_t fence() const { return fence_; }

  friend auto operator<=>(const WorkerThrottle&,
                          const WorkerThrottle&) = default;

 private:
  QUETZALLINE_VALUE(WorkerThrottle, call_, worker_, run_, percent_, fence_)

  std::uint64_t call_ = 0;
  std::string worker_;
  RunKey run_;
  std::int32_t percent_ = 0;
  std::int64_t fence_ = 0;
};

/// Builds a WorkerThrottle; fields that are not set keep their defaults.
class WorkerThrottle::Builder : public ValueBuilder<WorkerThrottle, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_THROTTLE_H_
