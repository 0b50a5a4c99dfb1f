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

/// Asks the worker to run a task attempt.
class StartWork {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-work";

  const TaskAttemptId& task() const { return task_; }
  const TaskTemplate& work() const { return work_; }
  const std::string& checkpoint() const { return checkpoint_; }
  /// Until then, on the agent's clock, the worker may run it unless
  /// renewed.
  Instant lease_until() const { return lease_until_; }

  friend auto operator<=>(const StartWork&, const StartWork&) = default;

 private:
  QUETZALLINE_VALUE(StartWork, task_, work_, checkpoint_, lease_until_)

  TaskAttemptId task_;
  TaskTemplate work_;
  std::string checkpoint_;
  Instant lease_until_ = Instant{};
};

/// Builds one StartWork; what is not set keeps its default.
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
