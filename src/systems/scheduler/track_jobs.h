#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_JOBS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_JOBS_H_

#include <cstdint>

#include "records/job_progress.h"
#include "records/job_record.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns true if the state is final.
bool IsFinalState(JobState state);

/// Marks the job as begun: a worker is known to have started one of its tasks.
/// A start that was only sent may be refused or lost with its worker.
void MarkBegan(std::uint64_t job, SchedulerTables& tables, SchedulerTick& tick);

/// Adds a newly submitted job. Its tasks stay blocked until the job is stored.
void AddSubmittedJob(std::uint64_t job, const JobRecord& record, Instant now,
                     SchedulerTables& tables);

/// Adds a job that is cancelled although it is unknown: a submission of it may
/// still be on its way, or wait in an entry. The next commit stores it.
void AddWithdrawnJob(std::uint64_t job, Instant now, SchedulerTables& tables);

/// Adds a stored job of an earlier term. The state of its unfinished tasks is
/// unknown, since they may still be running on a worker.
void RestoreJob(std::uint64_t job, const JobRecord& record,
                const JobProgress& progress, Instant accepted_at,
                SchedulerTables& tables);

/// Makes the tasks of an occurrence ready if all steps that their step depends
/// on are done.
void UnlockSteps(std::uint64_t job, std::int32_t occurrence, Instant now,
                 SchedulerTables& tables);

/// Erases the tasks of a job whose final state is stored, unless one of them
/// still occupies capacity on a worker.
void EraseFinishedTasks(std::uint64_t job, SchedulerTables& tables);

/// Erases a job that was never stored.
void DiscardJob(std::uint64_t job, SchedulerTables& tables);

/// Returns the declared work of one task, in core-milliseconds.
std::int64_t DeclaredWork(const JobStep& step);

/// Returns the stored form of the progress of the job's tasks.
JobProgress ProgressOf(std::uint64_t job, const SchedulerTables& tables);

/// Returns the time at which an occurrence of a repeated job is due, based on
/// the last reading of the wall clock.
Instant DueTime(const JobDefinition& definition, std::int32_t occurrence,
                const SchedulerTables& tables);

/// Makes the tasks of repeated jobs ready when their occurrence is due.
void ReleaseDueOccurrences(SchedulerTables& tables, SchedulerTick& tick);

/// Applies changed queue settings to the jobs that are not finished.
void ApplyQueueSettings(SchedulerTables& tables);

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

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_JOBS_H_
