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

/// Where callers hand in jobs, and how its jobs are treated.
class JobQueue {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-queue";

  const std::string& name() const { return name_; }
  /// The Host header of its callers.
  const std::string& host() const { return host_; }
  /// Start of the path of its callers.
  const std::string& prefix() const { return prefix_; }
  /// The service whose workers run its tasks.
  const ServiceName& service() const { return service_; }
  /// 0 comes first.
  std::int32_t priority() const { return priority_; }
  /// Failures of one task after which its job has failed.
  std::int32_t max_attempts() const { return max_attempts_; }
  /// Times the longest chain of work that a job may take.
  double stretch() const { return stretch_; }
  /// Time that a job may take beside the stretched chain.
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

/// Builds one JobQueue; what is not set keeps its default.
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
