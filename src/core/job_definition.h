#ifndef QUETZALLINE_CORE_JOB_DEFINITION_H_
#define QUETZALLINE_CORE_JOB_DEFINITION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/job_step.h"
#include "core/value.h"

namespace quetzalline {

/// A job as its caller submitted it.
class JobDefinition {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-definition";

  /// Name of the queue to which the job was submitted.
  const std::string& queue() const { return queue_; }
  /// Payload that is opaque to the scheduler; sent to the worker with each
  /// task.
  const std::string& spec() const { return spec_; }
  const std::vector<JobStep>& steps() const { return steps_; }
  /// Number of occurrences; 0 if the steps run once, without delay.
  std::int32_t repeat_count() const { return repeat_count_; }
  /// Time at which the first occurrence is due, in Unix milliseconds.
  std::int64_t first_due_ms() const { return first_due_ms_; }
  /// Time between two occurrences, in milliseconds.
  std::int64_t interval_ms() const { return interval_ms_; }

  friend auto operator<=>(const JobDefinition&, const JobDefinition&) = default;

 private:
  QUETZALLINE_VALUE(JobDefinition, queue_, spec_, steps_, repeat_count_,
                    first_due_ms_, interval_ms_)

  std::string queue_;
  std::string spec_;
  std::vector<JobStep> steps_;
  std::int32_t repeat_count_ = 0;
  std::int64_t first_due_ms_ = 0;
  std::int64_t interval_ms_ = 0;
};

/// Builds a JobDefinition; fields that are not set keep their defaults.
class JobDefinition::Builder : public ValueBuilder<JobDefinition, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& queue(std::string value) {
    return Set(value_.queue_, std::move(value));
  }
  Builder& spec(std::string value) {
    return Set(value_.spec_, std::move(value));
  }
  Builder& steps(std::vector<JobStep> value) {
    return Set(value_.steps_, std::move(value));
  }
  Builder& repeat_count(std::int32_t value) {
    return Set(value_.repeat_count_, value);
  }
  Builder& first_due_ms(std::int64_t value) {
    return Set(value_.first_due_ms_, value);
  }
  Builder& interval_ms(std::int64_t value) {
    return Set(value_.interval_ms_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_JOB_DEFINITION_H_
