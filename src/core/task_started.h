#ifndef QUETZALLINE_CORE_TASK_STARTED_H_
#define QUETZALLINE_CORE_TASK_STARTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The worker started the task attempt.
class TaskStarted {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-started";

  friend auto operator<=>(const TaskStarted&, const TaskStarted&) = default;

 private:
  QUETZALLINE_VALUE(TaskStarted)
};

/// Builds a TaskStarted, which has no fields.
class TaskStarted::Builder : public ValueBuilder<TaskStarted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_STARTED_H_
