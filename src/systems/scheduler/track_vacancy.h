#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_VACANCY_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_VACANCY_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Answers a take-over after workers have gone: a later holder need not wait
/// for those of which the store says that nothing runs there.

/// Says in the store that nothing runs on a worker that is gone, or whose lease
/// is surely over.
void MarkVacant(const MemberName& name, SchedulerTables& tables,
                SchedulerTick& tick);

/// Takes that back once the worker is seen again, before anything starts there.
void MarkOccupied(const MemberName& name, SchedulerTables& tables);

/// Adds what changed to a commit, as far as there is room for it.
void AddVacancies(std::size_t most_entries, SchedulerTables& tables,
                  CommitBatch& batch);

/// Lets work start on the workers that a commit has made occupied.
void OpenOccupied(const CommitBatch& batch, SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_VACANCY_H_
