#ifndef QUETZALLINE_TABLES_STEP_BLOCKED_H_
#define QUETZALLINE_TABLES_STEP_BLOCKED_H_

#include <compare>
#include <string_view>

#include "core/step_key.h"
#include "core/value.h"

namespace quetzalline {

/// No task is ready, and nothing that would make one ready is under way. A job
/// must not be in this state.
class StepBlocked {
 public:
  class Builder;

  static constexpr std::string_view kName = "step-blocked";

  /// First step that is not done.
  const StepKey& step() const { return step_; }

  friend auto operator<=>(const StepBlocked&, const StepBlocked&) = default;

 private:
  QUETZALLINE_VALUE(StepBlocked, step_)

  StepKey step_;
};

/// Builds a StepBlocked; fields that are not set keep their defaults.
class StepBlocked::Builder : public ValueBuilder<StepBlocked, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& step(const StepKey& value) { return Set(value_.step_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STEP_BLOCKED_H_
