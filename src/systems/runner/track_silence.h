#ifndef QUETZALLINE_SYSTEMS_RUNNER_TRACK_SILENCE_H_
#define QUETZALLINE_SYSTEMS_RUNNER_TRACK_SILENCE_H_

#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Whether the worker has answered no call for a while. Its lease is extended
/// no further, and it gets no new work.
bool IsWorkerSilent(const RunnerTables& tables, Instant now);

/// Answers a worker that is gone or hangs while its runner lives: once all that
/// it ran has surely lost its lease, the worker counts as left, so that its
/// tasks start elsewhere.
void LoseSilentWorker(RunnerTables& tables, RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_TRACK_SILENCE_H_
