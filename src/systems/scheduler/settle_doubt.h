#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_SETTLE_DOUBT_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_SETTLE_DOUBT_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Lets tasks of an earlier term start again once no worker can still run them.
void SettleDoubt(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SETTLE_DOUBT_H_
