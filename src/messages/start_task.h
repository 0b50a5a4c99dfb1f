#ifndef QUETZALLINE_MESSAGES_START_TASK_H_
#define QUETZALLINE_MESSAGES_START_TASK_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_template.h"
#include "core/value.h"

namespace quetzalline {

/// Requests the agent to start a task attempt that is recorded in the journal.
class StartTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-task";

  const TaskAttemptId& task() const { return task_; }
  /// Epoch of the holder that sent the message.
  std::uint64_t epoch() const { return epoch_; }
  const TaskTemplate& work() const { return work_; }
  /// Checkpoint to resume from; empty to start from the beginning.
  const std::string& checkpoint() const { return checkpoint_; }

  friend auto operator<=>(const StartTask&, const StartTask&) = default;

 private:
  QUETZALLINE_VALUE(StartTask, task_, epoch_, work_, checkpoint_)

  TaskAttemptId task_;
  std::uint64_t epoch_ = 0;
  TaskTemplate work_;
  std::string checkpoint_;
};

/// Builds a StartTask; fields that are not set keep their defaults.
class StartTask::Builder : public ValueBuilder<StartTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_START_TASK_H_
