#ifndef QUETZALLINE_CORE_TASK_ATTEMPT_ID_H_
#define QUETZALLINE_CORE_TASK_ATTEMPT_ID_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Identifies one attempt to run a task.
class TaskAttemptId {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-attempt-id";

  const TaskId& task() const { return task_; }
  /// Number of the attempt within its task, from 1. An attempt with a higher
  /// number supersedes those with lower ones.
  std::int32_t number() const { return number_; }

  friend auto operator<=>(const TaskAttemptId&, const TaskAttemptId&) = default;

 private:
  QUETZALLINE_VALUE(TaskAttemptId, task_, number_)

  TaskId task_;
  std::int32_t number_ = 0;
};

/// Builds a TaskAttemptId; fields that are not set keep their defaults.
class TaskAttemptId::Builder : public ValueBuilder<TaskAttemptId, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskId value) { return Set(value_.task_, std::move(value)); }
  Builder& number(std::int32_t value) { return Set(value_.number_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_ATTEMPT_ID_H_
