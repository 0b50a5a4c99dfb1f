#ifndef QUETZALLINE_CORE_TASK_FINISHED_H_
#define QUETZALLINE_CORE_TASK_FINISHED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The task attempt completed successfully.
class TaskFinished {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-finished";

  friend auto operator<=>(const TaskFinished&, const TaskFinished&) = default;

 private:
  QUETZALLINE_VALUE(TaskFinished)
};

/// Builds a TaskFinished, which has no fields.
class TaskFinished::Builder : public ValueBuilder<TaskFinished, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_FINISHED_H_
