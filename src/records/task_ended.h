#ifndef QUETZALLINE_RECORDS_TASK_ENDED_H_
#define QUETZALLINE_RECORDS_TASK_ENDED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/task_attempt_id.h"
#include "core/task_event.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt does not run any more and will not run again.
class TaskEnded {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-ended";

  const TaskAttemptId& task() const { return task_; }
  const EndpointId& endpoint() const { return endpoint_; }
  /// Event that ended the attempt.
  const TaskEvent& news() const { return news_; }

  friend auto operator<=>(const TaskEnded&, const TaskEnded&) = default;

 private:
  QUETZALLINE_VALUE(TaskEnded, task_, endpoint_, news_)

  TaskAttemptId task_;
  EndpointId endpoint_;
  TaskEvent news_;
};

/// Builds a TaskEnded; fields that are not set keep their defaults.
class TaskEnded::Builder : public ValueBuilder<TaskEnded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& news(TaskEvent value) { return Set(value_.news_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_ENDED_H_
