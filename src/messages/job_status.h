#ifndef QUETZALLINE_MESSAGES_JOB_STATUS_H_
#define QUETZALLINE_MESSAGES_JOB_STATUS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// Describes one job in the status report.
class JobStatus {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-status";

  const JobId& job() const { return job_; }
  const ServiceName& service() const { return service_; }
  /// Name of the task template.
  const std::string& task() const { return task_; }
  const std::string& state() const { return state_; }
  /// Endpoint that the task is assigned to; empty if it is not assigned.
  const std::string& endpoint() const { return endpoint_; }
  /// Number of attempts to run the task.
  std::int32_t attempts() const { return attempts_; }
  /// Reason for the last failed or refused attempt.
  Reason reason() const { return reason_; }

  friend auto operator<=>(const JobStatus&, const JobStatus&) = default;

 private:
  QUETZALLINE_VALUE(JobStatus, job_, service_, task_, state_, endpoint_,
                    attempts_, reason_)

  JobId job_;
  ServiceName service_;
  std::string task_;
  std::string state_;
  std::string endpoint_;
  std::int32_t attempts_ = 0;
  Reason reason_ = Reason{};
};

/// Builds a JobStatus; fields that are not set keep their defaults.
class JobStatus::Builder : public ValueBuilder<JobStatus, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(JobId value) { return Set(value_.job_, std::move(value)); }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& task(std::string value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& state(std::string value) {
    return Set(value_.state_, std::move(value));
  }
  Builder& endpoint(std::string value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& attempts(std::int32_t value) { return Set(value_.attempts_, value); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_STATUS_H_
