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

/// The ends of a job's tasks that have been noted, and its final state.
class JobProgress {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-progress";

  JobState state() const { return state_; }
  /// Tasks of which something is known; empty once the job is over.
  const std::vector<TaskProgress>& tasks() const { return tasks_; }

  friend auto operator<=>(const JobProgress&, const JobProgress&) = default;

 private:
  QUETZALLINE_VALUE(JobProgress, state_, tasks_)

  JobState state_ = JobState{};
  std::vector<TaskProgress> tasks_;
};

/// Builds one JobProgress; what is not set keeps its default.
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
