#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_HAND_OVER_WORKERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_HAND_OVER_WORKERS_H_

#include <optional>
#include <set>

#include "records/worker_handover.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Leaves to the next holder until when leases may run on workers that do not
/// answer, and which tasks may be on them, so that it neither waits for them
/// anew nor holds back other tasks.

/// Adopts a record that was loaded from the store. Only one of the epoch before
/// counts: every holder since then may have granted leases otherwise. `seen_at`
/// is a time at which the record was stored already.
void RestoreHandover(const MemberName& name, const WorkerHandover& record,
                     Instant seen_at, SchedulerTables& tables,
                     SchedulerTick& tick);

/// Returns the time by which all leases that earlier holders granted to the
/// worker have certainly expired; empty while that is unknown.
std::optional<Instant> EarlierLeasesEnd(const MemberName& name,
                                        const SchedulerTables& tables);

/// Returns the time by which all leases of the worker have certainly expired,
/// unless this holder grants another; empty while that is unknown.
std::optional<Instant> AllLeasesEnd(const MemberName& name,
                                    const SchedulerTables& tables);

/// Returns the only tasks that can be running on the worker, or can have ended
/// there without this holder's knowledge; empty if any task can.
std::optional<std::set<TaskKey>> PossibleTasks(const MemberName& name,
                                               const SchedulerTables& tables);

/// Returns true if the next holder may find a record by which this one grants
/// no lease to the worker and starts nothing on it.
bool IsHandedOver(const MemberName& name, const SchedulerTables& tables);

/// Decides which records the next commit writes or removes.
void TrackAbsentWorkers(SchedulerTables& tables, SchedulerTick& tick);

/// Leaves a record of every worker, at a planned stop.
void HandOverAllWorkers(SchedulerTables& tables);

/// Adds pending changes to a commit, up to its entry limit.
void AddHandovers(std::size_t max_entries, Instant now, SchedulerTables& tables,
                  CommitBatch& batch);

/// Applies the changes that a commit has stored. Allows leases and placement on
/// the workers whose record it has removed.
void ApplyHandovers(const CommitBatch& batch, SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_HAND_OVER_WORKERS_H_
