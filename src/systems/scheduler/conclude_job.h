#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CONCLUDE_JOB_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CONCLUDE_JOB_H_

#include "core/reason.h"
#include "core/run_end.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Takes up how a run ended: the task is done, waits for its next run, or has
/// failed for good and its job with it.
void TakeRunEnd(const MemberName& worker, const RunEnd& end,
                SchedulerTables& tables, SchedulerTick& tick);

/// Gives a job its final state and stops what it still runs.
void ConcludeJob(std::uint64_t job, JobState state, Reason reason,
                 SchedulerTables& tables, SchedulerTick& tick);

/// Puts a task back that its worker no longer runs.
void ReturnTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
                SchedulerTick& tick);

/// Tells the worker to stop the run that the task has there.
void StopTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
              SchedulerTick& tick);

/// Tells a worker to stop a run that it should not have.
void StopStray(const MemberName& worker, const RunKey& run,
               SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CONCLUDE_JOB_H_
