#ifndef QUETZALLINE_MESSAGES_STOP_TASK_H_
#define QUETZALLINE_MESSAGES_STOP_TASK_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/reason.h"
#include "core/task_attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Requests the agent to stop a task attempt, or never to start it.
class StopTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "stop-task";

  const TaskAttemptId& task() const { return task_; }
  /// Epoch of the holder that sent the message.
  std::uint64_t epoch() const { return epoch_; }
  Reason reason() const { return reason_; }

  friend auto operator<=>(const StopTask&, const StopTask&) = default;

 private:
  QUETZALLINE_VALUE(StopTask, task_, epoch_, reason_)

  TaskAttemptId task_;
  std::uint64_t epoch_ = 0;
  Reason reason_ = Reason{};
};

/// Builds a StopTask; fields that are not set keep their defaults.
class StopTask::Builder : public ValueBuilder<StopTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STOP_TASK_H_
