#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ASK_FOR_ORPHANED_RUNS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ASK_FOR_ORPHANED_RUNS_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Stops orphaned runs again as long as they close their workers. A runner that
/// does not have such a run answers with a list of all its runs, which replaces
/// the orphaned ones.
void AskForOrphanedRuns(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ASK_FOR_ORPHANED_RUNS_H_
