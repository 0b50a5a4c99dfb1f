#ifndef QUETZALLINE_CORE_TASK_FAILED_H_
#define QUETZALLINE_CORE_TASK_FAILED_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The task attempt ended unsuccessfully.
class TaskFailed {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-failed";

  Reason reason() const { return reason_; }

  friend auto operator<=>(const TaskFailed&, const TaskFailed&) = default;

 private:
  QUETZALLINE_VALUE(TaskFailed, reason_)

  Reason reason_ = Reason{};
};

/// Builds a TaskFailed; fields that are not set keep their defaults.
class TaskFailed::Builder : public ValueBuilder<TaskFailed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_FAILED_H_
