#ifndef QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_
#define QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_

#include "messages/start_run.h"
#include "messages/stop_run.h"
#include "messages/worker_answer.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Queues the start of a run, unless the worker has it already. Refuses the run
/// if the command is stale, meant for another incarnation of the worker, or
/// exceeds the worker's free capacity, and if the worker drains.
void HandleStartRun(const StartRun& command, RunnerTables& tables,
                    RunnerTick& tick);
/// Queues the stop of a run. Refuses the run instead if its start was not sent.
/// Ignores runs that the worker does not have.
void HandleStopRun(const StopRun& command, RunnerTables& tables,
                   RunnerTick& tick);

/// Handles the worker's answer to a start command that was sent under `fence`.
/// A run whose command got no answer becomes unresolved; a rejected one is
/// refused or, if only the fencing token was too low, queued again.
void HandleStartAnswer(const RunKey& run, std::int64_t fence,
                       const WorkerAnswer& answer, RunnerTables& tables,
                       RunnerTick& tick);
/// Handles the worker's answer to a stop command that was sent under `fence`;
/// queues it again if the fencing token was too low.
void HandleStopAnswer(const RunKey& run, std::int64_t fence,
                      const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick);

/// Queues stop commands again that have had no effect within the policy's
/// `call_retry`.
void RetryStops(RunnerTables& tables, RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_EXECUTE_RUN_COMMANDS_H_
