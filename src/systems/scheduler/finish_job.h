#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_FINISH_JOB_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_FINISH_JOB_H_

#include "core/reason.h"
#include "core/run_end.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Handles the completion of a run: the task is done, is queued for its next
/// run, or has exhausted its attempts, which fails the job.
void HandleRunEnd(const MemberName& worker, const RunEnd& end,
                  SchedulerTables& tables, SchedulerTick& tick);

/// Sets the final state of a job and stops its running tasks.
void FinishJob(std::uint64_t job, JobState state, Reason reason,
               SchedulerTables& tables, SchedulerTick& tick);

/// Completes all tasks of a gang after the given run of one of them, `key`, has
/// ended successfully: the tasks of a gang end together, so that one such end
/// stands for all of them. Tasks that have a different run by now are stopped.
void FinishGang(const TaskKey& key, std::int64_t run, SchedulerTables& tables,
                SchedulerTick& tick);

/// Returns a task to the ready queue after its worker has stopped running it. A
/// task of a finished job is closed instead.
void ReturnTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
                SchedulerTick& tick);

/// Stops the current run of a task. The task stays assigned until the worker
/// reports the end of the run.
void StopTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
              SchedulerTick& tick);

/// Sends the command to stop a run to a worker.
void SendStopRun(const MemberName& worker, const RunKey& run,
                 SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_FINISH_JOB_H_
