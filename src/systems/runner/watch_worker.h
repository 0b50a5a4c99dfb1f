#ifndef QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_
#define QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_

#include "messages/worker_announced.h"
#include "messages/worker_answer.h"
#include "messages/worker_left.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Handles the worker's announcement of itself. A new incarnation of the worker
/// has none of the runs of the previous one. Ignores announcements that are
/// older than the known one, or of the incarnation that was replaced last.
void HandleWorkerAnnounced(const WorkerAnnounced& seen, RunnerTables& tables,
                           RunnerTick& tick);
/// Handles the departure of the worker: its state is discarded, and the next
/// full report names it as left. Ignores that of another incarnation than the
/// known one.
void HandleWorkerLeft(const WorkerLeft& left, RunnerTables& tables,
                      RunnerTick& tick);

/// Compares the incarnation that answered with the known one. Another one that
/// answers has replaced the known one. Returns false in that case: the answer
/// says nothing about commands that were sent to the known one.
bool CheckWorkerIncarnation(const WorkerAnswer& answer, RunnerTables& tables,
                            RunnerTick& tick);

/// Keeps one poll of the worker outstanding, which renews its lease and returns
/// as soon as a run ends. Sends a second one under a new fencing token where
/// commands without an answer have to be invalidated.
void SendWorkerPolls(RunnerTables& tables, RunnerTick& tick);

/// Handles the lists of runs and completions in the worker's answer to a poll.
void HandlePollAnswer(const StatusPollCall& poll, const WorkerCall& call,
                      const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_WATCH_WORKER_H_
