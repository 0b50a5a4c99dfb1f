#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_REJECTED_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_REJECTED_H_

#include <optional>
#include <vector>

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns the records that a commit contains and that may be at fault if the
/// store rejects it.
std::vector<RecordUnit> UnitsOf(const CommitBatch& batch);

/// Returns true if a change of the job's records is not stored yet. It may be
/// part of the commit in flight.
bool HasUnstoredChanges(std::uint64_t job, const SchedulerTables& tables);

/// Takes the changes of rejected records out of the sets from which commits are
/// built. A change that may end the rejection makes them due at once.
void HoldBackRejected(SchedulerTables& tables, SchedulerTick& tick);

/// Returns the time of the next commit of rejected records; empty if there are
/// none.
std::optional<Instant> NextIsolatedCommit(const SchedulerTables& tables);

/// Returns a group of rejected records that is due. Empty if a commit without
/// them has to show first that the store accepts others.
std::vector<RecordUnit> ChooseIsolatedUnits(const SchedulerTables& tables,
                                            Instant now);

/// Records that the store contains what was committed.
void MarkUnitsStored(const CommitBatch& batch, SchedulerTables& tables);

/// Handles a commit that the store has rejected for its content. Its records
/// are committed in halves, and halves of these, until those at fault are
/// alone; all others go on without them. Records that are rejected alone are
/// retried with a growing delay. A new job is refused; it never runs. A job
/// that was accepted fails if it is rejected without its checkpoints as well,
/// while others are stored.
void HandleRejectedCommit(SchedulerTables& tables, SchedulerTick& tick);

/// Handles a commit that the store refuses as if it was unavailable, while it
/// accepts others. Its records are isolated as those of a rejected commit, but
/// no accepted job fails, since the store may accept them later.
void HandleRefusedCommit(SchedulerTables& tables, SchedulerTick& tick);

/// Handles a commit without an answer that the store, when it was read, has not
/// stored again and again. Its records are isolated as those of a rejected
/// commit, but no job is refused, since the store may still apply an attempt.
void HandleUnstoredCommit(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_REJECTED_H_
