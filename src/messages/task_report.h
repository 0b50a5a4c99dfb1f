#ifndef QUETZALLINE_MESSAGES_TASK_REPORT_H_
#define QUETZALLINE_MESSAGES_TASK_REPORT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_event.h"
#include "core/value.h"

namespace quetzalline {

/// Reports an event of a task attempt; final events are sent again until they
/// are acknowledged.
class TaskReport {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-report";

  const TaskAttemptId& task() const { return task_; }
  const TaskEvent& news() const { return news_; }

  friend auto operator<=>(const TaskReport&, const TaskReport&) = default;

 private:
  QUETZALLINE_VALUE(TaskReport, task_, news_)

  TaskAttemptId task_;
  TaskEvent news_;
};

/// Builds a TaskReport; fields that are not set keep their defaults.
class TaskReport::Builder : public ValueBuilder<TaskReport, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& news(TaskEvent value) { return Set(value_.news_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_TASK_REPORT_H_
