#ifndef QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_
#define QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_

#include "messages/start_run.h"
#include "messages/stop_run.h"
#include "messages/worker_answer.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Commands the worker to start a run, unless it has it already. Refuses the
/// run if the command is stale, meant for another incarnation of the worker, or
/// exceeds the worker's free capacity.
void HandleStartRun(const StartRun& command, RunnerTables& tables,
                    RunnerTick& tick);
/// Commands the worker to stop a run. Ignores runs that the worker does not
/// have.
void HandleStopRun(const StopRun& command, RunnerTables& tables,
                   RunnerTick& tick);

/// Handles the worker's answer to a start command that was sent under `fence`.
/// A run whose command got no answer becomes unresolved; a rejected one is
/// refused or, if only the fencing token was too low, sent again.
void HandleStartAnswer(const RunKey& run, std::int64_t fence,
                       const WorkerAnswer& answer, RunnerTables& tables,
                       RunnerTick& tick);
/// Handles the worker's answer to a stop command that was sent under `fence`;
/// sends it again if the fencing token was too low.
void HandleStopAnswer(const RunKey& run, std::int64_t fence,
                      const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick);

/// Sends stop commands again that have had no effect within the policy's
/// `call_retry`.
void RetryStops(RunnerTables& tables, RunnerTick& tick);

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

#endif  // QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_
