#ifndef QUETZALLINE_CORE_TASK_REFUSED_H_
#define QUETZALLINE_CORE_TASK_REFUSED_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The agent did not start the task attempt and will not start it.
class TaskRefused {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-refused";

  Reason reason() const { return reason_; }

  friend auto operator<=>(const TaskRefused&, const TaskRefused&) = default;

 private:
  QUETZALLINE_VALUE(TaskRefused, reason_)

  Reason reason_ = Reason{};
};

/// Builds a TaskRefused; fields that are not set keep their defaults.
class TaskRefused::Builder : public ValueBuilder<TaskRefused, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_REFUSED_H_
