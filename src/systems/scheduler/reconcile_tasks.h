#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_RECONCILE_TASKS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_RECONCILE_TASKS_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Reconciles the tasks of an earlier term whose state is unknown: releases
/// them for placement once no worker can still be running them. Records the
/// workers that have not answered by then as confirmed lost.
void ReconcileTasks(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_RECONCILE_TASKS_H_
