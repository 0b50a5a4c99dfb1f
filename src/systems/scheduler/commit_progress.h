#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Keeps what has changed: new jobs, cancellations, ends of runs. One commit is
/// under way at a time. Each expects the revision of the epoch's key that the
/// one before it wrote, so that a commit that arrives late, or comes from a
/// holder that was replaced, changes nothing.
void CommitProgress(SchedulerTables& tables, SchedulerTick& tick);

/// Lets runners forget ends up to the first whose effect is not kept.
void NoteKeptEnds(SchedulerTables& tables, SchedulerTick& tick);

void TakeCommit(const KvsResult& result, SchedulerTables& tables,
                SchedulerTick& tick);
/// Learns from the epoch's key what became of a commit without an answer.
void TakeCommitCheck(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_COMMIT_PROGRESS_H_
