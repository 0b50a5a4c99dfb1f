#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_NODE_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_NODE_H_

#include <optional>
#include <span>
#include <vector>

#include "core/tick.h"
#include "messages/scheduler_effect.h"
#include "messages/scheduler_input.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Decisions of a scheduler process. It follows the holder of the cell's leader
/// lease, claims the cell when there is no holder, and as the holder stores
/// jobs and places their tasks.
class SchedulerNode {
 public:
  using Input = SchedulerInput;
  using Effect = SchedulerEffect;

  SchedulerNode(const SchedulerPolicy& policy, std::uint64_t seed);

  /// Runs all systems once, in a fixed order, and returns the effects to carry
  /// out.
  std::vector<SchedulerEffect> RunTick(Instant now,
                                       std::span<const SchedulerInput> inputs);

  /// The time of the next tick if no input arrives earlier; empty if none is
  /// needed.
  std::optional<Instant> wake_at() const { return wake_at_; }
  const SchedulerTables& tables() const { return tables_; }

 private:
  SchedulerTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_NODE_H_
