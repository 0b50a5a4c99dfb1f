#ifndef QUETZALLINE_MESSAGES_ACKNOWLEDGE_TASK_H_
#define QUETZALLINE_MESSAGES_ACKNOWLEDGE_TASK_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Allows the agent to discard the final event of a task attempt.
class AcknowledgeTask {
 public:
  class Builder;

  static constexpr std::string_view kName = "acknowledge-task";

  const TaskAttemptId& task() const { return task_; }
  /// Epoch of the holder that sent the message.
  std::uint64_t epoch() const { return epoch_; }

  friend auto operator<=>(const AcknowledgeTask&,
                          const AcknowledgeTask&) = default;

 private:
  QUETZALLINE_VALUE(AcknowledgeTask, task_, epoch_)

  TaskAttemptId task_;
  std::uint64_t epoch_ = 0;
};

/// Builds an AcknowledgeTask; fields that are not set keep their defaults.
class AcknowledgeTask::Builder : public ValueBuilder<AcknowledgeTask, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ACKNOWLEDGE_TASK_H_
