#ifndef QUETZALLINE_MESSAGES_CANCEL_JOB_H_
#define QUETZALLINE_MESSAGES_CANCEL_JOB_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Cancels a job on an operator's request.
class CancelJob {
 public:
  class Builder;

  static constexpr std::string_view kName = "cancel-job";

  const JobId& job() const { return job_; }

  friend auto operator<=>(const CancelJob&, const CancelJob&) = default;

 private:
  QUETZALLINE_VALUE(CancelJob, job_)

  JobId job_;
};

/// Builds a CancelJob; fields that are not set keep their defaults.
class CancelJob::Builder : public ValueBuilder<CancelJob, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CANCEL_JOB_H_
