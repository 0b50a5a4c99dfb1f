#ifndef QUETZALLINE_CORE_SCHEDULER_CONFIGURATION_H_
#define QUETZALLINE_CORE_SCHEDULER_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/job_queue.h"
#include "core/value.h"

namespace quetzalline {

/// The complete configuration of queues and services, set by the operators.
class SchedulerConfiguration {
 public:
  class Builder;

  static constexpr std::string_view kName = "scheduler-configuration";

  /// Increases with each change; 0 if no configuration is known.
  std::int64_t version() const { return version_; }
  const std::vector<JobQueue>& queues() const { return queues_; }
  const std::vector<ServiceName>& services() const { return services_; }

  friend auto operator<=>(const SchedulerConfiguration&,
                          const SchedulerConfiguration&) = default;

 private:
  QUETZALLINE_VALUE(SchedulerConfiguration, version_, queues_, services_)

  std::int64_t version_ = 0;
  std::vector<JobQueue> queues_;
  std::vector<ServiceName> services_;
};

/// Builds a SchedulerConfiguration; fields that are not set keep their
/// defaults.
class SchedulerConfiguration::Builder
    : public ValueBuilder<SchedulerConfiguration, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& version(std::int64_t value) { return Set(value_.version_, value); }
  Builder& queues(std::vector<JobQueue> value) {
    return Set(value_.queues_, std::move(value));
  }
  Builder& services(std::vector<ServiceName> value) {
    return Set(value_.services_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_SCHEDULER_CONFIGURATION_H_
