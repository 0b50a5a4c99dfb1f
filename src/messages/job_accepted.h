#ifndef QUETZALLINE_MESSAGES_JOB_ACCEPTED_H_
#define QUETZALLINE_MESSAGES_JOB_ACCEPTED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The job is stored durably.
class JobAccepted {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-accepted";

  const JobId& job() const { return job_; }

  friend auto operator<=>(const JobAccepted&, const JobAccepted&) = default;

 private:
  QUETZALLINE_VALUE(JobAccepted, job_)

  JobId job_;
};

/// Builds a JobAccepted; fields that are not set keep their defaults.
class JobAccepted::Builder : public ValueBuilder<JobAccepted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_ACCEPTED_H_
