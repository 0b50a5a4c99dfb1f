#ifndef QUETZALLINE_MESSAGES_WORKER_START_H_
#define QUETZALLINE_MESSAGES_WORKER_START_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/shared.h"
#include "core/value.h"

namespace quetzalline {

/// Starts a run on the worker.
class WorkerStart {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-start";

  /// Identifies the call; the WorkerAnswer repeats it.
  std::uint64_t call() const { return call_; }
  /// Id of the worker that the call is meant for.
  const std::string& worker() const { return worker_; }
  /// Incarnation of the worker on whose clock the lease ends: its start time in
  /// Unix milliseconds. No other incarnation may receive the lease, as its
  /// clock shows another time.
  std::int64_t born_ms() const { return born_ms_; }
  const RunKey& run() const { return run_; }
  /// Specification of the task, which is passed to the worker unchanged.
  const Shared<std::string>& spec() const { return spec_; }
  /// Checkpoint to resume from; empty to start from the beginning.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Time at which the worker stops all its runs unless the lease is renewed,
  /// in milliseconds of the worker's clock.
  std::int64_t lease_end_ms() const { return lease_end_ms_; }
  /// Fencing token; the worker rejects a call with a lower token than it has
  /// seen.
  std::int64_t fence() const { return fence_; }

  friend auto operator<=>(const WorkerStart&, const WorkerStart&) = default;

 private:
  QUETZALLINE_VALUE(WorkerStart, call_, worker_, born_ms_, run_, spec_,
                    checkpoint_, lease_end_ms_, fence_)

  std::uint64_t call_ = 0;
  std::string worker_;
  std::int64_t born_ms_ = 0;
  RunKey run_;
  Shared<std::string> spec_;
  std::string checkpoint_;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t fence_ = 0;
};

/// Builds a WorkerStart; fields that are not set keep their defaults.
class WorkerStart::Builder : public ValueBuilder<WorkerStart, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& spec(Shared<std::string> value) {
    return Set(value_.spec_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& lease_end_ms(std::int64_t value) {
    return Set(value_.lease_end_ms_, value);
  }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_START_H_
