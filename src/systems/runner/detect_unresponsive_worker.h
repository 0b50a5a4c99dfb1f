#ifndef QUETZALLINE_SYSTEMS_RUNNER_DETECT_UNRESPONSIVE_WORKER_H_
#define QUETZALLINE_SYSTEMS_RUNNER_DETECT_UNRESPONSIVE_WORKER_H_

#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Returns true if a known worker has answered no call for more than twice the
/// longest time between two answers of a healthy worker. The lease of an
/// unresponsive worker is not extended, and it gets no new tasks.
bool IsWorkerUnresponsive(const RunnerTables& tables, Instant now);

/// Handles a worker that has failed or hangs while its runner is alive: once
/// the leases of all its runs have certainly expired, the worker counts as
/// left, so that its tasks are started elsewhere.
void ExpireUnresponsiveWorker(RunnerTables& tables, RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_DETECT_UNRESPONSIVE_WORKER_H_
