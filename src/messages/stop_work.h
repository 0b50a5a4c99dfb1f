#ifndef QUETZALLINE_MESSAGES_STOP_WORK_H_
#define QUETZALLINE_MESSAGES_STOP_WORK_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Requests the worker to checkpoint and stop a task attempt.
class StopWork {
 public:
  class Builder;

  static constexpr std::string_view kName = "stop-work";

  const TaskAttemptId& task() const { return task_; }

  friend auto operator<=>(const StopWork&, const StopWork&) = default;

 private:
  QUETZALLINE_VALUE(StopWork, task_)

  TaskAttemptId task_;
};

/// Builds a StopWork; fields that are not set keep their defaults.
class StopWork::Builder : public ValueBuilder<StopWork, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STOP_WORK_H_
