#ifndef QUETZALLINE_CORE_TASK_KEY_H_
#define QUETZALLINE_CORE_TASK_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Names one task of a job: which occurrence, which step, which of its copies.
class TaskKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "task-key";

  /// The caller's number for the job.
  std::uint64_t job() const { return job_; }
  /// Counts from 0; 0 for a job that is not repeated.
  std::int32_t occurrence() const { return occurrence_; }
  std::int32_t step() const { return step_; }
  std::int32_t index() const { return index_; }

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

 private:
  QUETZALLINE_VALUE(TaskKey, job_, occurrence_, step_, index_)

  std::uint64_t job_ = 0;
  std::int32_t occurrence_ = 0;
  std::int32_t step_ = 0;
  std::int32_t index_ = 0;
};

/// Builds one TaskKey; what is not set keeps its default.
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
