#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_OPEN_JOB_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_OPEN_JOB_H_

#include <cstdint>

#include "records/job_progress.h"
#include "records/job_record.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Whether nothing more will happen to a job of this state.
bool IsOver(JobState state);

/// Takes up a job that is handed in now. Its tasks wait until it is kept.
void OpenNewJob(std::uint64_t job, const JobRecord& record, Instant now,
                SchedulerTables& tables);

/// Takes up a job of an earlier holder. Its tasks may be running somewhere.
void OpenKeptJob(std::uint64_t job, const JobRecord& record,
                 const JobProgress& progress, Instant accepted_at,
                 SchedulerTables& tables);

/// Lets the tasks start whose steps have nothing before them that is not done.
void UnlockSteps(std::uint64_t job, std::int32_t occurrence, Instant now,
                 SchedulerTables& tables);

/// Forgets the tasks of a job whose final state is kept, once none of them
/// holds room on a worker any more.
void EraseQuietTasks(std::uint64_t job, SchedulerTables& tables);

/// Forgets a job that was never kept.
void ForgetJob(std::uint64_t job, SchedulerTables& tables);

/// The declared core-milliseconds of one task.
std::int64_t WorkOf(const JobStep& step);

/// What the store keeps of the job's tasks.
JobProgress ProgressOf(std::uint64_t job, const SchedulerTables& tables);

/// When an occurrence of a repeated job is due, by the time of day as last
/// read.
Instant DueTime(const JobDefinition& definition, std::int32_t occurrence,
                const SchedulerTables& tables);

/// Lets occurrences start whose time has come.
void OpenOccurrences(SchedulerTables& tables, SchedulerTick& tick);

/// Takes the queues as they are configured now for the jobs that are not over.
void RefreshQueues(SchedulerTables& tables);

/// Calls visit(key) for each task of the job.
template <typename Visit>
void ForEachTask(std::uint64_t job, const JobDefinition& definition,
                 Visit&& visit) {
  const std::int32_t occurrences =
      definition.repeat_count() > 0 ? definition.repeat_count() : 1;
  for (std::int32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (std::size_t step = 0; step < definition.steps().size(); ++step) {
      for (std::int32_t index = 0; index < definition.steps()[step].count();
           ++index) {
        visit(TaskKey::Builder()
                  .job(job)
                  .occurrence(occurrence)
                  .step(static_cast<std::int32_t>(step))
                  .index(index)
                  .Build());
      }
    }
  }
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_OPEN_JOB_H_
