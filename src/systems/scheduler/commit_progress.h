#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Stores changes: new jobs, cancellations and completions of runs. At most one
/// commit is in flight. Each commit expects the revision of the epoch's key
/// that the previous one wrote, so a delayed commit, or one of a replaced
/// holder of the cell's leader lease, changes nothing.
void CommitProgress(SchedulerTables& tables, SchedulerTick& tick);

/// Acknowledges completions to the runners of these workers, up to the first
/// whose effect is not stored yet. A runner drops acknowledged completions.
void AcknowledgeCompletions(const std::set<MemberName>& workers,
                            SchedulerTables& tables, SchedulerTick& tick);

/// Handles the result of a commit. A failed commit is retried; one whose
/// outcome is unknown is checked against the epoch's key first.
void HandleCommit(const KvsResult& result, SchedulerTables& tables,
                  SchedulerTick& tick);
/// Handles the read of the epoch's key after a commit with an unknown outcome:
/// finishes the commit if the store shows one of its sequence numbers, sends it
/// again if not, and steps down if another holder has written the key.
void HandleCommitCheck(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_
