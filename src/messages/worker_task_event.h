#ifndef QUETZALLINE_MESSAGES_WORKER_TASK_EVENT_H_
#define QUETZALLINE_MESSAGES_WORKER_TASK_EVENT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_event.h"
#include "core/value.h"

namespace quetzalline {

/// The worker reports an event of a task attempt.
class WorkerTaskEvent {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-news";

  const TaskAttemptId& task() const { return task_; }
  const TaskEvent& news() const { return news_; }

  friend auto operator<=>(const WorkerTaskEvent&,
                          const WorkerTaskEvent&) = default;

 private:
  QUETZALLINE_VALUE(WorkerTaskEvent, task_, news_)

  TaskAttemptId task_;
  TaskEvent news_;
};

/// Builds a WorkerTaskEvent; fields that are not set keep their defaults.
class WorkerTaskEvent::Builder : public ValueBuilder<WorkerTaskEvent, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& news(TaskEvent value) { return Set(value_.news_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_TASK_EVENT_H_
