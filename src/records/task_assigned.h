#ifndef QUETZALLINE_RECORDS_TASK_ASSIGNED_H_
#define QUETZALLINE_RECORDS_TASK_ASSIGNED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/task_attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// A task attempt was assigned to an endpoint.
class TaskAssigned {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-assigned";

  const TaskAttemptId& task() const { return task_; }
  const EndpointId& endpoint() const { return endpoint_; }

  friend auto operator<=>(const TaskAssigned&, const TaskAssigned&) = default;

 private:
  QUETZALLINE_VALUE(TaskAssigned, task_, endpoint_)

  TaskAttemptId task_;
  EndpointId endpoint_;
};

/// Builds a TaskAssigned; fields that are not set keep their defaults.
class TaskAssigned::Builder : public ValueBuilder<TaskAssigned, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskAttemptId value) {
    return Set(value_.task_, std::move(value));
  }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_ASSIGNED_H_
