#ifndef QUETZALLINE_TABLES_SUSPECT_HELD_H_
#define QUETZALLINE_TABLES_SUSPECT_HELD_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/task_key.h"
#include "core/value.h"
#include "tables/suspect_hold.h"

namespace quetzalline {

/// A task under which workers have crashed waits to start in isolation.
class SuspectHeld {
 public:
  class Builder;

  static constexpr std::string_view kName = "suspect-held";

  const TaskKey& task() const { return task_; }
  /// What it waits for.
  SuspectHold hold() const { return hold_; }
  /// Number of its runs that may have caused a crash.
  std::int32_t crashes() const { return crashes_; }

  friend auto operator<=>(const SuspectHeld&, const SuspectHeld&) = default;

 private:
  QUETZALLINE_VALUE(SuspectHeld, task_, hold_, crashes_)

  TaskKey task_;
  SuspectHold hold_ = SuspectHold{};
  std::int32_t crashes_ = 0;
};

/// Builds a SuspectHeld; fields that are not set keep their defaults.
class SuspectHeld::Builder : public ValueBuilder<SuspectHeld, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& task(const TaskKey& value) { return Set(value_.task_, value); }
  Builder& hold(SuspectHold value) { return Set(value_.hold_, value); }
  Builder& crashes(std::int32_t value) { return Set(value_.crashes_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SUSPECT_HELD_H_
