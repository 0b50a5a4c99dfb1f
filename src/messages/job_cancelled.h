#ifndef QUETZALLINE_MESSAGES_JOB_CANCELLED_H_
#define QUETZALLINE_MESSAGES_JOB_CANCELLED_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The cancellation is stored durably.
class JobCancelled {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-cancelled";

  const JobId& job() const { return job_; }
  /// State of the job's tasks in the journal; shows whether the job ran before
  /// it was cancelled.
  const std::string& state() const { return state_; }

  friend auto operator<=>(const JobCancelled&, const JobCancelled&) = default;

 private:
  QUETZALLINE_VALUE(JobCancelled, job_, state_)

  JobId job_;
  std::string state_;
};

/// Builds a JobCancelled; fields that are not set keep their defaults.
class JobCancelled::Builder : public ValueBuilder<JobCancelled, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
  Builder& state(std::string value) {
    return Set(value_.state_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_CANCELLED_H_
