#ifndef QUETZALLINE_SYSTEMS_RUNNER_ORDER_RUNS_H_
#define QUETZALLINE_SYSTEMS_RUNNER_ORDER_RUNS_H_

#include "messages/start_run.h"
#include "messages/stop_run.h"
#include "messages/worker_answer.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Orders the worker to start a run, unless it is there already.
void TakeStart(const StartRun& order, RunnerTables& tables, RunnerTick& tick);
/// Orders the worker to stop a run.
void TakeStop(const StopRun& order, RunnerTables& tables, RunnerTick& tick);

void TakeStartAnswer(const RunKey& run, std::int64_t fence,
                     const WorkerAnswer& answer, RunnerTables& tables,
                     RunnerTick& tick);
void TakeStopAnswer(const RunKey& run, std::int64_t fence,
                    const WorkerAnswer& answer, RunnerTables& tables,
                    RunnerTick& tick);

/// Repeats orders to stop that have had no effect.
void RepeatStops(RunnerTables& tables, RunnerTick& tick);

/// Tells the holder that a run will not start, or is gone without an end.
void RefuseRun(const RunKey& run, Reason reason, RunnerTables& tables,
               RunnerTick& tick);

/// The fence that calls to the worker carry now. It rises with each session of
/// the holder and whenever an order without an answer has to be made void.
std::int64_t CurrentFence(const RunnerTables& tables);

/// Opens a call to the worker.
std::uint64_t OpenWorkerCall(const WorkerCallKind& kind, RunnerTables& tables,
                             Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_ORDER_RUNS_H_
