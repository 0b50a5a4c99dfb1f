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

/// A task of a job that is not over.
class JobTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-task";

  TaskStage stage() const { return stage_; }
  /// The highest run known; 0 before the first.
  std::int64_t run() const { return run_; }
  /// The runner of the latest run.
  const MemberName& worker() const { return worker_; }
  /// Numbers of the runs that failed, each counted once however often their
  /// ends are listed.
  const std::vector<std::int64_t>& failed_runs() const { return failed_runs_; }
  const std::string& checkpoint() const { return checkpoint_; }
  Instant assigned_at() const { return assigned_at_; }
  /// Progress of the latest run as last reported.
  std::int32_t percent() const { return percent_; }
  /// Whether the latest run has been told to stop.
  bool stopping() const { return stopping_; }
  /// What the task needs.
  const Shared<JobStep>& step() const { return step_; }
  /// When it last became ready.
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

/// Builds one JobTask; what is not set keeps its default.
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
