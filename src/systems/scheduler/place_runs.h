#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Starts what is ready where there is room for it: first what is urgent and
/// short, then what serves, then what fills; within each, what is due first.
void PlaceRuns(SchedulerTables& tables, SchedulerTick& tick);

/// Moves lasting tasks away from workers that drain.
void LeaveDrainingWorkers(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_
