#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns true if the job is so late that it is placed after all others.
bool IsUnmeetable(const JobRow& job, Instant now);

/// Places ready tasks on workers with free capacity. Order: urgent tasks,
/// long-running services, best-effort tasks, then tasks that cannot meet their
/// deadline; within a class by priority, then by due time.
void PlaceRuns(SchedulerTables& tables, SchedulerTick& tick);

/// Starts a suspect at the place that was planned for it.
void StartIsolatedRun(const TaskKey& key, const IsolatedRun& run,
                      SchedulerTables& tables, SchedulerTick& tick);

/// Stops long-running tasks on draining workers, so that they are placed
/// elsewhere.
void EvictFromDrainingWorkers(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_PLACE_RUNS_H_
