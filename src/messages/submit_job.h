#ifndef QUETZALLINE_MESSAGES_SUBMIT_JOB_H_
#define QUETZALLINE_MESSAGES_SUBMIT_JOB_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Submits a job that runs a task template of a service file.
class SubmitJob {
 public:
  class Builder;

  static constexpr std::string_view kName = "submit-job";

  /// Chosen by the operator, which makes repeating the command safe.
  const JobId& job() const { return job_; }
  const ServiceName& service() const { return service_; }
  /// Name of the task template.
  const std::string& task() const { return task_; }

  friend auto operator<=>(const SubmitJob&, const SubmitJob&) = default;

 private:
  QUETZALLINE_VALUE(SubmitJob, job_, service_, task_)

  JobId job_;
  ServiceName service_;
  std::string task_;
};

/// Builds a SubmitJob; fields that are not set keep their defaults.
class SubmitJob::Builder : public ValueBuilder<SubmitJob, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& task(std::string value) {
    return Set(value_.task_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SUBMIT_JOB_H_
