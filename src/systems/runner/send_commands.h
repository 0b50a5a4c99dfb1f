#ifndef QUETZALLINE_SYSTEMS_RUNNER_SEND_COMMANDS_H_
#define QUETZALLINE_SYSTEMS_RUNNER_SEND_COMMANDS_H_

#include <cstdint>

#include "core/reason.h"
#include "core/run_key.h"
#include "core/task_key.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"
#include "tables/worker_call_kind.h"

namespace quetzalline {

/// Commands to a worker that does not answer can wait for seconds. They wait in
/// the runner's tables, and each is checked again when it is sent: a start may
/// have been revoked or have become too old, its holder may have been replaced,
/// and the worker may have begun to drain.

/// Queues the start of a run that is in the table.
void QueueStart(const TaskKey& key, RunnerTables& tables);

/// Queues the stop of a run, which goes before starts and rate changes. A run
/// has at most one stop in the queue.
void QueueStop(const TaskKey& key, RunnerTables& tables, RunnerTick& tick);

/// Queues a change of a run's CPU rate limit, which replaces one that waits.
void QueueThrottle(const RunKey& run, std::int32_t percent,
                   RunnerTables& tables);

/// Refuses a run whose start was not sent. It certainly does not start.
void WithdrawStart(const TaskKey& key, Reason reason, RunnerTables& tables,
                   RunnerTick& tick);

/// Refuses all runs whose starts were not sent.
void WithdrawStarts(Reason reason, RunnerTables& tables, RunnerTick& tick);

/// Sends queued commands while the worker has few of them in flight. Refuses
/// the runs whose starts have waited too long.
void SendCommands(RunnerTables& tables, RunnerTick& tick);

/// Reports to the holder that a run will not start, or is gone without a
/// completion.
void RefuseRun(const RunKey& run, Reason reason, RunnerTables& tables,
               RunnerTick& tick);

/// Returns the fencing token that calls to the worker carry. It rises with each
/// session of the holder, and whenever a command without an answer has to be
/// invalidated.
std::int64_t CurrentFencingToken(const RunnerTables& tables);

/// Records a call to the worker as outstanding and returns its number.
std::uint64_t RegisterWorkerCall(const WorkerCallKind& kind,
                                 RunnerTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_SEND_COMMANDS_H_
