#ifndef QUETZALLINE_MESSAGES_WORKER_TASK_FOUND_H_
#define QUETZALLINE_MESSAGES_WORKER_TASK_FOUND_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_template.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt was already running on the worker when the agent started.
class WorkerTaskFound {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-found";

  const TaskAttemptId& task() const { return task_; }
  const TaskTemplate& work() const { return work_; }

  friend auto operator<=>(const WorkerTaskFound&,
                          const WorkerTaskFound&) = default;

 private:
  QUETZALLINE_VALUE(WorkerTaskFound, task_, work_)

  TaskAttemptId task_;
  TaskTemplate work_;
};

/// Builds a WorkerTaskFound; fields that are not set keep their defaults.
class WorkerTaskFound::Builder : public ValueBuilder<WorkerTaskFound, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_TASK_FOUND_H_
