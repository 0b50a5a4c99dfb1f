#ifndef QUETZALLINE_CORE_TASK_TEMPLATE_H_
#define QUETZALLINE_CORE_TASK_TEMPLATE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/resources.h"
#include "core/value.h"
#include "core/workload.h"

namespace quetzalline {

/// A task that a service file declares.
class TaskTemplate {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-template";

  const std::string& name() const { return name_; }
  const Workload& workload() const { return workload_; }
  /// Declared resource needs; the scheduler treats them as an initial estimate.
  const Resources& needs() const { return needs_; }
  /// True if the task is urgent; urgent tasks are placed before all others.
  bool urgent() const { return urgent_; }
  /// Number of distinct workers with a failed attempt after which the task is
  /// no longer retried.
  std::int32_t max_attempts() const { return max_attempts_; }

  friend auto operator<=>(const TaskTemplate&, const TaskTemplate&) = default;

 private:
  QUETZALLINE_VALUE(TaskTemplate, name_, workload_, needs_, urgent_,
                    max_attempts_)

  std::string name_;
  Workload workload_;
  Resources needs_;
  bool urgent_ = false;
  std::int32_t max_attempts_ = 5;
};

/// Builds a TaskTemplate; fields that are not set keep their defaults.
class TaskTemplate::Builder : public ValueBuilder<TaskTemplate, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(std::string value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& workload(Workload value) {
    return Set(value_.workload_, std::move(value));
  }
  Builder& needs(Resources value) {
    return Set(value_.needs_, std::move(value));
  }
  Builder& urgent(bool value) { return Set(value_.urgent_, value); }
  Builder& max_attempts(std::int32_t value) {
    return Set(value_.max_attempts_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_TEMPLATE_H_
