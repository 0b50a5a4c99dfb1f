#ifndef QUETZALLINE_RECORDS_JOB_CANCELLATION_H_
#define QUETZALLINE_RECORDS_JOB_CANCELLATION_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// An operator cancelled a job. Its tasks are no longer started.
class JobCancellation {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-cancellation";

  const JobId& job() const { return job_; }

  friend auto operator<=>(const JobCancellation&,
                          const JobCancellation&) = default;

 private:
  QUETZALLINE_VALUE(JobCancellation, job_)

  JobId job_;
};

/// Builds a JobCancellation; fields that are not set keep their defaults.
class JobCancellation::Builder : public ValueBuilder<JobCancellation, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_JOB_CANCELLATION_H_
