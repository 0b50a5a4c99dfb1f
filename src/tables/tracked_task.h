#ifndef QUETZALLINE_TABLES_TRACKED_TASK_H_
#define QUETZALLINE_TABLES_TRACKED_TASK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_event.h"
#include "core/task_template.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt that this instance was asked to run.
class TrackedTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "held-task";

  const TaskAttemptId& task() const { return task_; }
  /// Epoch of the holder that sent the task.
  std::uint64_t epoch() const { return epoch_; }
  const TaskTemplate& work() const { return work_; }
  /// The latest state reported by the worker; empty before the first report.
  const std::optional<TaskEvent>& news() const { return news_; }
  bool stopping() const { return stopping_; }
  /// Time at which that state was last sent to the holder.
  Instant reported() const { return reported_; }
  /// Returns true once the holder has recorded the terminal state.
  bool acknowledged() const { return acknowledged_; }

  friend auto operator<=>(const TrackedTask&, const TrackedTask&) = default;

 private:
  QUETZALLINE_VALUE(TrackedTask, task_, epoch_, work_, news_, stopping_,
                    reported_, acknowledged_)

  TaskAttemptId task_;
  std::uint64_t epoch_ = 0;
  TaskTemplate work_;
  std::optional<TaskEvent> news_;
  bool stopping_ = false;
  Instant reported_ = Instant{};
  bool acknowledged_ = false;
};

/// Builds a TrackedTask; fields that are not set keep their defaults.
class TrackedTask::Builder : public ValueBuilder<TrackedTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& news(std::optional<TaskEvent> value) {
    return Set(value_.news_, std::move(value));
  }
  Builder& stopping(bool value) { return Set(value_.stopping_, value); }
  Builder& reported(Instant value) { return Set(value_.reported_, value); }
  Builder& acknowledged(bool value) { return Set(value_.acknowledged_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TRACKED_TASK_H_
