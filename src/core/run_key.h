#ifndef QUETZALLINE_CORE_RUN_KEY_H_
#define QUETZALLINE_CORE_RUN_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/task_key.h"
#include "core/value.h"

namespace quetzalline {

/// Identifies one run of a task. The runs of a task are numbered in ascending
/// order from 1.
class RunKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "run-key";

  const TaskKey& task() const { return task_; }
  std::int64_t run() const { return run_; }

  friend auto operator<=>(const RunKey&, const RunKey&) = default;

 private:
  QUETZALLINE_VALUE(RunKey, task_, run_)

  TaskKey task_;
  std::int64_t run_ = 0;
};

/// Builds a RunKey; fields that are not set keep their defaults.
class RunKey::Builder : public ValueBuilder<RunKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(TaskKey value) { return Set(value_.task_, std::move(value)); }
  Builder& run(std::int64_t value) { return Set(value_.run_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RUN_KEY_H_
