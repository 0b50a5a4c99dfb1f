#ifndef QUETZALLINE_CORE_STEP_KEY_H_
#define QUETZALLINE_CORE_STEP_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Identifies one step of one occurrence of a job.
class StepKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "step-key";

  std::uint64_t job() const { return job_; }
  /// Number of the occurrence, from 0.
  std::int32_t occurrence() const { return occurrence_; }
  /// Index of the step in the job definition.
  std::int32_t step() const { return step_; }

  friend auto operator<=>(const StepKey&, const StepKey&) = default;

 private:
  QUETZALLINE_VALUE(StepKey, job_, occurrence_, step_)

  std::uint64_t job_ = 0;
  std::int32_t occurrence_ = 0;
  std::int32_t step_ = 0;
};

/// Builds a StepKey; fields that are not set keep their defaults.
class StepKey::Builder : public ValueBuilder<StepKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& job(std::uint64_t value) { return Set(value_.job_, value); }
  Builder& occurrence(std::int32_t value) {
    return Set(value_.occurrence_, value);
  }
  Builder& step(std::int32_t value) { return Set(value_.step_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_STEP_KEY_H_
