#ifndef QUETZALLINE_CORE_TASK_KEY_H_
#define QUETZALLINE_CORE_TASK_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Identifies one task of a job by occurrence, step and index.
class TaskKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-key";

  /// Number of the job, set by its caller.
  std::uint64_t job() const { return job_; }
  /// Number of the occurrence, from 0; 0 for a job that is not repeated.
  std::int32_t occurrence() const { return occurrence_; }
  /// Index of the step in the job definition.
  std::int32_t step() const { return step_; }
  /// Index of the task within its step.
  std::int32_t index() const { return index_; }

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

 private:
  QUETZALLINE_VALUE(TaskKey, job_, occurrence_, step_, index_)

  std::uint64_t job_ = 0;
  std::int32_t occurrence_ = 0;
  std::int32_t step_ = 0;
  std::int32_t index_ = 0;
};

/// Builds a TaskKey; fields that are not set keep their defaults.
class TaskKey::Builder : public ValueBuilder<TaskKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& occurrence(std::int32_t value) {
    return Set(value_.occurrence_, value);
  }
  Builder& step(std::int32_t value) { return Set(value_.step_, value); }
  Builder& index(std::int32_t value) { return Set(value_.index_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_KEY_H_
