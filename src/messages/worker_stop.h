#ifndef QUETZALLINE_MESSAGES_WORKER_STOP_H_
#define QUETZALLINE_MESSAGES_WORKER_STOP_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Stops a run on the worker.
class WorkerStop {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-stop";

  /// Identifies the call; the WorkerAnswer repeats it.
  std::uint64_t call() const { return call_; }
  /// Id of the worker that the call is meant for.
  const std::string& worker() const { return worker_; }
  const RunKey& run() const { return run_; }
  /// Fencing token; the worker rejects a call with a lower token than it has
  /// seen.
  std::int64_t fence() const { return fence_; }

  friend auto operator<=>(const WorkerStop&, const WorkerStop&) = default;

 private:
  QUETZALLINE_VALUE(WorkerStop, call_, worker_, run_, fence_)

  std::uint64_t call_ = 0;
  std::string worker_;
  RunKey run_;
  std::int64_t fence_ = 0;
};

/// Builds a WorkerStop; fields that are not set keep their defaults.
class WorkerStop::Builder : public ValueBuilder<WorkerStop, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_STOP_H_
