#ifndef QUETZALLINE_TEST_SUPPORT_TASK_CRASH_H_
#define QUETZALLINE_TEST_SUPPORT_TASK_CRASH_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// How the runs of a task crash the simulated worker that started them.
class TaskCrash {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-crash";

  /// Work of a run before the worker crashes. A run that ends earlier crashes
  /// nothing.
  Duration after() const { return after_; }
  /// Time until the worker is back as a new incarnation.
  Duration downtime() const { return downtime_; }
  /// Percentage of the runs that crash the worker.
  std::int32_t percent() const { return percent_; }

  friend auto operator<=>(const TaskCrash&, const TaskCrash&) = default;

 private:
  QUETZALLINE_VALUE(TaskCrash, after_, downtime_, percent_)

  Duration after_ = std::chrono::milliseconds(10);
  Duration downtime_ = std::chrono::seconds(3);
  std::int32_t percent_ = 100;
};

/// Builds a TaskCrash; fields that are not set keep their defaults.
class TaskCrash::Builder : public ValueBuilder<TaskCrash, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& after(Duration value) { return Set(value_.after_, value); }
  Builder& downtime(Duration value) { return Set(value_.downtime_, value); }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_TASK_CRASH_H_
