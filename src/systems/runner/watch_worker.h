#ifndef QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_
#define QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_

#include "messages/worker_announced.h"
#include "messages/worker_answer.h"
#include "messages/worker_left.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Takes up what the worker announces of itself. A new life of the worker runs
/// nothing of what the one before ran.
void TakeWorkerSeen(const WorkerAnnounced& seen, RunnerTables& tables,
                    RunnerTick& tick);
void TakeWorkerLeft(const WorkerLeft& left, RunnerTables& tables,
                    RunnerTick& tick);

/// Compares the life that answered with the one that is known. An answer of
/// another life says nothing of what was ordered from this one.
bool CheckLife(const WorkerAnswer& answer, RunnerTables& tables,
               RunnerTick& tick);

/// Keeps one look at the worker under way, which renews its lease and returns
/// as soon as a run ends; and one under a new fence where orders without an
/// answer have to be made void.
void HoldWorker(RunnerTables& tables, RunnerTick& tick);

/// Takes up the worker's lists.
void TakeHoldAnswer(const HoldCall& hold, const WorkerCall& call,
                    const WorkerAnswer& answer, RunnerTables& tables,
                    RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_
