#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_SEND_START_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_SEND_START_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Sends the command to start the task's latest run to its worker. A runner
/// that has the run already updates the run's parameters.
void SendStart(const MemberName& worker, const TaskKey& key,
               SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SEND_START_H_
