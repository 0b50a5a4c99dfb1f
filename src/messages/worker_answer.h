#ifndef QUETZALLINE_MESSAGES_WORKER_ANSWER_H_
#define QUETZALLINE_MESSAGES_WORKER_ANSWER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/run_end.h"
#include "core/value.h"
#include "messages/worker_call_outcome.h"
#include "messages/worker_run.h"

namespace quetzalline {

/// Result of a call to the worker.
class WorkerAnswer {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-answer";

  /// Identifies the call.
  std::uint64_t call() const { return call_; }
  WorkerCallOutcome verdict() const { return verdict_; }
  /// Incarnation of the worker that answered: its start time in Unix
  /// milliseconds. 0 if the answer does not contain it.
  std::int64_t born_ms() const { return born_ms_; }
  /// Time on the worker's clock in milliseconds; 0 if the answer does not
  /// contain it.
  std::int64_t clock_ms() const { return clock_ms_; }
  const std::vector<WorkerRun>& running() const { return running_; }
  const std::vector<RunEnd>& ends() const { return ends_; }
  /// True if the worker may have more completions than fit in one answer.
  bool more_ends() const { return more_ends_; }

  friend auto operator<=>(const WorkerAnswer&, const WorkerAnswer&) = default;

 private:
  QUETZALLINE_VALUE(WorkerAnswer, call_, verdict_, born_ms_, clock_ms_,
                    running_, ends_, more_ends_)

  std::uint64_t call_ = 0;
  WorkerCallOutcome verdict_ = WorkerCallOutcome{};
  std::int64_t born_ms_ = 0;
  std::int64_t clock_ms_ = 0;
  std::vector<WorkerRun> running_;
  std::vector<RunEnd> ends_;
  bool more_ends_ = false;
};

/// Builds a WorkerAnswer; fields that are not set keep their defaults.
class WorkerAnswer::Builder : public ValueBuilder<WorkerAnswer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& verdict(WorkerCallOutcome value) {
    return Set(value_.verdict_, value);
  }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& clock_ms(std::int64_t value) { return Set(value_.clock_ms_, value); }
  Builder& running(std::vector<WorkerRun> value) {
    return Set(value_.running_, std::move(value));
  }
  Builder& ends(std::vector<RunEnd> value) {
    return Set(value_.ends_, std::move(value));
  }
  Builder& more_ends(bool value) { return Set(value_.more_ends_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_ANSWER_H_
