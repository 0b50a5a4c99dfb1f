#ifndef QUETZALLINE_MESSAGES_START_WORK_H_
#define QUETZALLINE_MESSAGES_START_WORK_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_template.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Requests the worker to run a task attempt.
class StartWork {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-work";

  const TaskAttemptId& task() const { return task_; }
  const TaskTemplate& work() const { return work_; }
  /// Checkpoint to resume from; empty to start from the beginning.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Time on the agent's clock until which the worker may run the attempt
  /// unless the lease is renewed.
  Instant lease_until() const { return lease_until_; }

  friend auto operator<=>(const StartWork&, const StartWork&) = default;

 private:
  QUETZALLINE_VALUE(StartWork, task_, work_, checkpoint_, lease_until_)

  TaskAttemptId task_;
  TaskTemplate work_;
  std::string checkpoint_;
  Instant lease_until_ = Instant{};
};

/// Builds a StartWork; fields that are not set keep their defaults.
class StartWork::Builder : public ValueBuilder<StartWork, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& work(TaskTemplate value) {
    return Set(value_.work_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& lease_until(Instant value) {
    return Set(value_.lease_until_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_START_WORK_H_
