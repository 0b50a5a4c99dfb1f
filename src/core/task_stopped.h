#ifndef QUETZALLINE_CORE_TASK_STOPPED_H_
#define QUETZALLINE_CORE_TASK_STOPPED_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// The worker stopped the task attempt on request.
class TaskStopped {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-stopped";

  /// Name of the last checkpoint; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }

  friend auto operator<=>(const TaskStopped&, const TaskStopped&) = default;

 private:
  QUETZALLINE_VALUE(TaskStopped, checkpoint_)

  std::string checkpoint_;
};

/// Builds a TaskStopped; fields that are not set keep their defaults.
class TaskStopped::Builder : public ValueBuilder<TaskStopped, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_STOPPED_H_
