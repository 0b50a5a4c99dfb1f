#ifndef QUETZALLINE_SYSTEMS_RUNNER_RECORD_CRASH_H_
#define QUETZALLINE_SYSTEMS_RUNNER_RECORD_CRASH_H_

#include <vector>

#include "messages/acknowledge_crash.h"
#include "messages/worker_crash.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Records the runs of the known incarnation, which another one has replaced.
/// Does nothing if it had announced that it leaves. Call it before the runs are
/// forgotten.
void RecordCrash(RunnerTables& tables, RunnerTick& tick);

/// Keeps the runs of the known incarnation, which is given up as unresponsive,
/// until the next announcement shows whether it has crashed.
void KeepUnresponsive(RunnerTables& tables, Instant now);

/// Handles an announcement while no worker is known. The unresponsive
/// incarnation has crashed if this is another one.
void ResolveUnresponsive(const WorkerDescription& facts, RunnerTables& tables,
                         RunnerTick& tick);

/// Updates what is known of the end of the incarnation after a call.
void RecordAnswer(bool answered, RunnerTables& tables, Instant now);

/// Plans additional polls after the start of a suspect. They tell whether it
/// has survived its start, even if the worker has nothing else to answer.
void ScheduleSurvivalChecks(RunnerTables& tables, Instant now);

/// Returns the crashes that the holder has not acknowledged.
std::vector<WorkerCrash> CollectCrashes(const RunnerTables& tables,
                                        Instant now);

/// Forgets a crash, since the holder has stored what follows from it.
void HandleAcknowledgedCrash(const AcknowledgeCrash& noted,
                             RunnerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_RECORD_CRASH_H_
