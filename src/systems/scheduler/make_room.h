#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_MAKE_ROOM_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_MAKE_ROOM_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Answers a burst of urgent work on full workers: stops a lasting task of
/// another job where urgent tasks have waited for room, since they are worth
/// more for each core and leave again soon.
void PreemptLasting(SchedulerTables& tables, SchedulerTick& tick);

/// Answers fragmentation: where tasks that fill wait, moves the few tasks that
/// serve on one worker to workers that serve already, which leaves a worker
/// without neighbours to disturb.
void ConsolidateServing(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_MAKE_ROOM_H_
