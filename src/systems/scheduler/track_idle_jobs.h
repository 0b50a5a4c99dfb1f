#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_IDLE_JOBS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_IDLE_JOBS_H_

#include <vector>

#include "core/step_key.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/placement_pass.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Updates the jobs that have nothing running although a task's turn has come.
/// Tasks of unknown state may run and count as running; tasks that are assigned
/// to a worker that gives no sign of life do not. A job with a ready
/// long-running task is idle whatever else it runs.
/// Marks the jobs that are starved, beside the sound workers of their service.
void UpdateIdleJobs(const PlacementPass& pass, SchedulerTables& tables,
                    Instant now);

/// Ends the idle spells of all jobs, as no task is ready.
void EndIdleSpells(SchedulerTables& tables, Instant now);

/// Records that a task of the job was sent to a worker. The job is idle no
/// longer, unless the worker refuses the task.
void MarkTried(std::uint64_t job, SchedulerTables& tables, Instant now);

/// Records that a worker refused a task of the job, which therefore is idle as
/// long as if the task had not been sent.
void MarkRefused(std::uint64_t job, SchedulerTables& tables);

/// Returns true if the job is idle and none of its tasks was just sent.
bool IsIdle(const IdleJob& job);

/// Returns the number of idle jobs.
std::size_t CountIdleJobs(const SchedulerTables& tables);

/// Logs why a step of an idle job has no worker. Each job is logged at
/// intervals that grow with its wait, and all together at a bounded rate.
void LogIdleJob(const StepKey& key, const WaitCauses& causes,
                SchedulerTables& tables, SchedulerTick& tick);

/// Returns for how long the longest idle job has been idle; zero without one.
Duration LongestIdleTime(const SchedulerTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_IDLE_JOBS_H_
