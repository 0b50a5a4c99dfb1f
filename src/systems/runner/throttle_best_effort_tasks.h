#ifndef QUETZALLINE_SYSTEMS_RUNNER_THROTTLE_BEST_EFFORT_TASKS_H_
#define QUETZALLINE_SYSTEMS_RUNNER_THROTTLE_BEST_EFFORT_TASKS_H_

#include <optional>

#include "messages/interference_sample.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Limits interference on the worker: while the tail latency of a long-running
/// service is near or above its target, the CPU rate of the best-effort tasks
/// beside it falls quickly. It rises step by step once every tail latency is
/// well below its target.
void ThrottleBestEffortTasks(RunnerTables& tables, RunnerTick& tick);

/// Returns the tail latencies on the worker, in percent of their targets, and
/// the CPU that best-effort tasks use beside them, in thousandths of a core.
/// Empty if no task has a tail latency, or if best-effort tasks have not run
/// for long enough to affect it.
std::optional<InterferenceSample> SampleInterference(const RunnerTables& tables,
                                                     Instant now);

/// Returns true if the tail latency of a long-running service exceeds its
/// target.
bool IsTailOverTarget(const RunnerTables& tables);

/// Returns true if the worker has both best-effort tasks and tasks with a tail
/// latency target.
bool HasMixedTasks(const RunnerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_THROTTLE_BEST_EFFORT_TASKS_H_
