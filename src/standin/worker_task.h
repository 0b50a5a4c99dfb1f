#ifndef QUETZALLINE_STANDIN_WORKER_TASK_H_
#define QUETZALLINE_STANDIN_WORKER_TASK_H_

#include <compare>
#include <optional>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_template.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt that runs on an in-memory worker.
class WorkerTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-task";

  const TaskAttemptId& task() const { return task_; }
  const TaskTemplate& work() const { return work_; }
  Instant started() const { return started_; }
  /// Work done according to the checkpoint that the attempt started from.
  Duration resumed_from() const { return resumed_from_; }
  /// Time at which the task finishes; empty if it runs until it is stopped.
  const std::optional<Instant>& ends() const { return ends_; }

  friend auto operator<=>(const WorkerTask&, const WorkerTask&) = default;

 private:
  QUETZALLINE_VALUE(WorkerTask, task_, work_, started_, resumed_from_, ends_)

  TaskAttemptId task_;
  TaskTemplate work_;
  Instant started_ = Instant{};
  Duration resumed_from_ = Duration{};
  std::optional<Instant> ends_;
};

/// Builds a WorkerTask; fields that are not set keep their defaults.
class WorkerTask::Builder : public ValueBuilder<WorkerTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& started(Instant value) { return Set(value_.started_, value); }
  Builder& resumed_from(Duration value) {
    return Set(value_.resumed_from_, value);
  }
  Builder& ends(std::optional<Instant> value) {
    return Set(value_.ends_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_WORKER_TASK_H_
