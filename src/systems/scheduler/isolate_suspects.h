#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_SUSPECTS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_SUSPECTS_H_

#include <set>

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Starts suspects in isolation: while one has just started on a worker,
/// nothing else starts there, so that a crash tells which task is at fault. The
/// evidence and the number and place of the run are stored before it starts.
/// The members of a gang start together once their evidence is stored. Call it
/// before other tasks are placed.
void IsolateSuspects(SchedulerTables& tables, SchedulerTick& tick);

/// Returns the workers on which nothing else may start now.
std::set<MemberName> IsolatedWorkers(const SchedulerTables& tables,
                                     Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ISOLATE_SUSPECTS_H_
