#ifndef QUETZALLINE_CORE_JOB_QUEUE_H_
#define QUETZALLINE_CORE_JOB_QUEUE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A queue to which callers submit jobs, and the policy for its jobs.
class JobQueue {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-queue";

  const std::string& name() const { return name_; }
  /// Host header by which requests are routed to the queue.
  const std::string& host() const { return host_; }
  /// Path prefix by which requests are routed to the queue.
  const std::string& prefix() const { return prefix_; }
  /// Service whose workers run the tasks of the queue.
  const ServiceName& service() const { return service_; }
  /// Jobs with lower numbers are placed first; 0 is the highest priority.
  std::int32_t priority() const { return priority_; }
  /// Number of failed runs of one task after which its job fails.
  std::int32_t max_attempts() const { return max_attempts_; }
  /// Factor by which the deadline of a job scales the estimated run time of its
  /// longest chain of dependent steps.
  double stretch() const { return stretch_; }
  /// Time that the deadline of a job allows in addition to the scaled chain.
  Duration objective() const { return objective_; }

  friend auto operator<=>(const JobQueue&, const JobQueue&) = default;

 private:
  QUETZALLINE_VALUE(JobQueue, name_, host_, prefix_, service_, priority_,
                    max_attempts_, stretch_, objective_)

  std::string name_;
  std::string host_;
  std::string prefix_;
  ServiceName service_;
  std::int32_t priority_ = 0;
  std::int32_t max_attempts_ = 1;
  double stretch_ = 1.0;
  Duration objective_ = Duration{};
};

/// Builds a JobQueue; fields that are not set keep their defaults.
class JobQueue::Builder : public ValueBuilder<JobQueue, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(std::string value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& host(std::string value) {
    return Set(value_.host_, std::move(value));
  }
  Builder& prefix(std::string value) {
    return Set(value_.prefix_, std::move(value));
  }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& priority(std::int32_t value) { return Set(value_.priority_, value); }
  Builder& max_attempts(std::int32_t value) {
    return Set(value_.max_attempts_, value);
  }
  Builder& stretch(double value) { return Set(value_.stretch_, value); }
  Builder& objective(Duration value) { return Set(value_.objective_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_JOB_QUEUE_H_
