#ifndef QUETZALLINE_TABLES_JOB_TASK_H_
#define QUETZALLINE_TABLES_JOB_TASK_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/job_step.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "tables/task_stage.h"

namespace quetzalline {

/// A task of a job that has not ended.
class JobTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-task";

  TaskStage stage() const { return stage_; }
  /// Highest known run number; 0 before the first run.
  std::int64_t run() const { return run_; }
  /// Runner of the latest run.
  const MemberName& worker() const { return worker_; }
  /// Numbers of the failed runs. Each is counted once, however often its end is
  /// listed.
  const std::vector<std::int64_t>& failed_runs() const { return failed_runs_; }
  /// The latest checkpoint; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }
  Instant assigned_at() const { return assigned_at_; }
  /// Last reported progress of the latest run, 0 to 100.
  std::int32_t percent() const { return percent_; }
  /// Returns true if the latest run has been commanded to stop.
  bool stopping() const { return stopping_; }
  /// The step's definition, with the task's requirements.
  const Shared<JobStep>& step() const { return step_; }
  /// Time at which the task last became ready.
  Instant ready_since() const { return ready_since_; }

  friend auto operator<=>(const JobTask&, const JobTask&) = default;

 private:
  QUETZALLINE_VALUE(JobTask, stage_, run_, worker_, failed_runs_, checkpoint_,
                    assigned_at_, percent_, stopping_, step_, ready_since_)

  TaskStage stage_ = TaskStage{};
  std::int64_t run_ = 0;
  MemberName worker_;
  std::vector<std::int64_t> failed_runs_;
  std::string checkpoint_;
  Instant assigned_at_ = Instant{};
  std::int32_t percent_ = 0;
  bool stopping_ = false;
  Shared<JobStep> step_;
  Instant ready_since_ = Instant{};
};

/// Builds a JobTask; fields that are not set keep their defaults.
class JobTask::Builder : public ValueBuilder<JobTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& stage(TaskStage value) { return Set(value_.stage_, value); }
  Builder& run(std::int64_t value) { return Set(value_.run_, value); }
  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& failed_runs(std::vector<std::int64_t> value) {
    return Set(value_.failed_runs_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& assigned_at(Instant value) {
    return Set(value_.assigned_at_, value);
  }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
  Builder& stopping(bool value) { return Set(value_.stopping_, value); }
  Builder& step(Shared<JobStep> value) {
    return Set(value_.step_, std::move(value));
  }
  Builder& ready_since(Instant value) {
    return Set(value_.ready_since_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOB_TASK_H_
