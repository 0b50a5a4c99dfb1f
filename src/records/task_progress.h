#ifndef QUETZALLINE_RECORDS_TASK_PROGRESS_H_
#define QUETZALLINE_RECORDS_TASK_PROGRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "records/crashed_run.h"
#include "records/isolated_run.h"

namespace quetzalline {

/// The state of one task that a new holder of the cell needs.
class TaskProgress {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-progress";

  /// Number of the occurrence of the job, from 0.
  std::int32_t occurrence() const { return occurrence_; }
  /// Index of the step in the job definition.
  std::int32_t step() const { return step_; }
  /// Index of the task within its step.
  std::int32_t index() const { return index_; }
  bool done() const { return done_; }
  /// Numbers of the failed runs. Each run counts once, even if its completion
  /// is listed repeatedly.
  const std::vector<std::int64_t>& failed_runs() const { return failed_runs_; }
  /// Number of the latest known run.
  std::int64_t last_run() const { return last_run_; }
  /// Checkpoint from which the next run resumes; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Runs that may have caused the crash of a worker. Each counts once. Records
  /// of earlier releases have none.
  const std::vector<CrashedRun>& crashed_runs() const { return crashed_runs_; }
  /// The latest run in isolation, which may have been started or not.
  const std::optional<IsolatedRun>& isolated() const { return isolated_; }

  friend auto operator<=>(const TaskProgress&, const TaskProgress&) = default;

 private:
  QUETZALLINE_VALUE(TaskProgress, occurrence_, step_, index_, done_,
                    failed_runs_, last_run_, checkpoint_, crashed_runs_,
                    isolated_)

  std::int32_t occurrence_ = 0;
  std::int32_t step_ = 0;
  std::int32_t index_ = 0;
  bool done_ = false;
  std::vector<std::int64_t> failed_runs_;
  std::int64_t last_run_ = 0;
  std::string checkpoint_;
  std::vector<CrashedRun> crashed_runs_;
  std::optional<IsolatedRun> isolated_;
};

/// Builds a TaskProgress; fields that are not set keep their defaults.
class TaskProgress::Builder : public ValueBuilder<TaskProgress, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& occurrence(std::int32_t value) {
    return Set(value_.occurrence_, value);
  }
  Builder& step(std::int32_t value) { return Set(value_.step_, value); }
  Builder& index(std::int32_t value) { return Set(value_.index_, value); }
  Builder& done(bool value) { return Set(value_.done_, value); }
  Builder& failed_runs(std::vector<std::int64_t> value) {
    return Set(value_.failed_runs_, std::move(value));
  }
  Builder& last_run(std::int64_t value) { return Set(value_.last_run_, value); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& crashed_runs(std::vector<CrashedRun> value) {
    return Set(value_.crashed_runs_, std::move(value));
  }
  Builder& isolated(std::optional<IsolatedRun> value) {
    return Set(value_.isolated_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_PROGRESS_H_
