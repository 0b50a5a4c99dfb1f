#ifndef QUETZALLINE_RECORDS_JOB_PROGRESS_H_
#define QUETZALLINE_RECORDS_JOB_PROGRESS_H_

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "core/job_state.h"
#include "core/value.h"
#include "records/task_progress.h"

namespace quetzalline {

/// The recorded completions of the tasks of a job, and the final state of the
/// job.
class JobProgress {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-progress";

  JobState state() const { return state_; }
  /// Tasks with stored progress; empty once the job has ended.
  const std::vector<TaskProgress>& tasks() const { return tasks_; }

  friend auto operator<=>(const JobProgress&, const JobProgress&) = default;

 private:
  QUETZALLINE_VALUE(JobProgress, state_, tasks_)

  JobState state_ = JobState{};
  std::vector<TaskProgress> tasks_;
};

/// Builds a JobProgress; fields that are not set keep their defaults.
class JobProgress::Builder : public ValueBuilder<JobProgress, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& state(JobState value) { return Set(value_.state_, value); }
  Builder& tasks(std::vector<TaskProgress> value) {
    return Set(value_.tasks_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_JOB_PROGRESS_H_
