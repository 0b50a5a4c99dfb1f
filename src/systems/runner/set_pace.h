#ifndef QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_
#define QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_

#include <cstdint>

#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Answers noisy neighbours: while a task that serves is over its tail target,
/// the tasks that fill beside it are slowed down, quickly; they are let go on
/// step by step once there is room below every target.
void SetPace(RunnerTables& tables, RunnerTick& tick);

/// The worst tail of the tasks that serve, in percent of its target.
std::int64_t WorstTail(const RunnerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_SET_PACE_H_
