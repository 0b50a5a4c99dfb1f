#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_RECLAIM_CAPACITY_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_RECLAIM_CAPACITY_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Handles a burst of urgent work on full workers: when an urgent task or gang
/// has waited too long for capacity, stops the movable long-running tasks with
/// the least CPU that make room for it. Urgent tasks are worth more per core
/// and release their capacity soon.
void PreemptLongRunning(SchedulerTables& tables, SchedulerTick& tick);

/// Handles fragmentation: while best-effort tasks wait, moves the few services
/// of one worker to workers that run services already. The cleared worker can
/// run best-effort tasks without interference.
void ConsolidateServices(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_RECLAIM_CAPACITY_H_
