#ifndef QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_
#define QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_

#include <optional>

#include "messages/interference_sample.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Answers noisy neighbours: while a task that serves is over its tail target,
/// the tasks that fill beside it are slowed down, quickly; they are let go on
/// step by step once there is room below every target.
void SetPace(RunnerTables& tables, RunnerTick& tick);

/// The tails on the worker and what fills beside them; empty where what fills
/// has not been at work for long enough to show in the tails.
std::optional<InterferenceSample> SampleNeighbours(const RunnerTables& tables,
                                                   Instant now);

/// Whether a task that serves is over its target.
bool HasTailTooHigh(const RunnerTables& tables);

/// Whether tasks fill beside tasks that serve.
bool IsMixed(const RunnerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_
