#ifndef QUETZALLINE_TABLES_STATE_UNKNOWN_H_
#define QUETZALLINE_TABLES_STATE_UNKNOWN_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/task_key.h"
#include "core/value.h"

namespace quetzalline {

/// Tasks of an earlier term may still run where an earlier holder placed them.
class StateUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "state-unknown";

  /// The first of them.
  const TaskKey& task() const { return task_; }
  /// Number of such tasks.
  std::int32_t tasks() const { return tasks_; }

  friend auto operator<=>(const StateUnknown&, const StateUnknown&) = default;

 private:
  QUETZALLINE_VALUE(StateUnknown, task_, tasks_)

  TaskKey task_;
  std::int32_t tasks_ = 0;
};

/// Builds a StateUnknown; fields that are not set keep their defaults.
class StateUnknown::Builder : public ValueBuilder<StateUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(const TaskKey& value) { return Set(value_.task_, value); }
  Builder& tasks(std::int32_t value) { return Set(value_.tasks_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STATE_UNKNOWN_H_
