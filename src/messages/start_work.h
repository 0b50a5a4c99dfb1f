#ifndef QUETZALLINE_MESSAGES_START_WORK_H_
#define QUETZALLINE_MESSAGES_START_WORK_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/task_attempt_id.h"
#include "core/task_template.h"
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

  friend auto operator<=>(const StartWork&, const StartWork&) = default;

 private:
  QUETZALLINE_VALUE(StartWork, task_, work_, checkpoint_)

  TaskAttemptId task_;
  TaskTemplate work_;
  std::string checkpoint_;
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
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_START_WORK_H_
