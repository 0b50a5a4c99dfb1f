#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_LOST_WORKERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_LOST_WORKERS_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Tracks workers that are confirmed lost: the store records that nothing runs
/// on them. A new holder of the cell's leader lease therefore need not wait for
/// their leases to expire.

/// Records that nothing runs on a worker that has left or whose lease has
/// certainly expired. The next commit stores it.
void MarkConfirmedLost(const MemberName& name, SchedulerTables& tables,
                       SchedulerTick& tick);

/// Removes that record when the worker is seen again. Nothing is placed on the
/// worker until the removal is stored.
void RetractConfirmedLost(const MemberName& name, SchedulerTables& tables);

/// Adds pending changes to a commit, up to its entry limit.
void AddLostWorkerChanges(std::size_t max_entries, SchedulerTables& tables,
                          CommitBatch& batch);

/// Applies the changes that a commit has stored. Allows placement on the
/// workers whose record it has removed.
void ApplyLostWorkerChanges(const CommitBatch& batch, SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_LOST_WORKERS_H_
