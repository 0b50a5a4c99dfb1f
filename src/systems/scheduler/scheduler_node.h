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

/// The decisions of a process that may hold the cell: it follows the holder,
/// takes the cell when nobody holds it, and as the holder keeps jobs and places
/// their tasks.
class SchedulerNode {
 public:
  using Input = SchedulerInput;
  using Effect = SchedulerEffect;

  SchedulerNode(const SchedulerPolicy& policy, std::uint64_t seed);

  /// Runs every system once, in their fixed order.
  std::vector<SchedulerEffect> RunTick(Instant now,
                                       std::span<const SchedulerInput> inputs);

  std::optional<Instant> wake_at() const { return wake_at_; }
  const SchedulerTables& tables() const { return tables_; }

 private:
  SchedulerTables tables_;
  Random random_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_NODE_H_
