#include "systems/scheduler/track_jobs.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/limits.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/track_crashes.h"

namespace quetzalline {
namespace {

// Interval of checks for due occurrences, and thereby their maximum delay.
constexpr Duration kOccurrenceCheckInterval = std::chrono::milliseconds(100);

// Occurrence, step and index of a task within its job.
using TaskPosition = std::tuple<std::int32_t, std::int32_t, std::int32_t>;

const JobQueue* FindQueue(const std::string& name,
                          const SchedulerConfiguration& configuration) {
  const auto found =
      std::find_if(configuration.queues().begin(), configuration.queues().end(),
                   [&](const JobQueue& queue) { return queue.name() == name; });
  return found == configuration.queues().end() ? nullptr : &*found;
}

// Returns the length of the critical path through the steps, by declared run
// times.
Duration CriticalPath(const JobDefinition& definition) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const JobStep& step : definition.steps()) {
    Duration start{};
    for (const std::int32_t before : step.after()) {
      start = std::max(start, ends[static_cast<std::size_t>(before)]);
    }
    ends.push_back(start + step.estimate());
    longest = std::max(longest, ends.back());
  }
  return longest;
}

// Returns the configured settings of the job's queue, or those under which the
// job was accepted if the queue has been removed.
Shared<JobQueue> QueueOf(const JobRecord& record,
                         const SchedulerConfiguration& configuration) {
  const JobQueue* configured =
      FindQueue(record.definition()->queue(), configuration);
  if (configured == nullptr) return record.queue();
  return *configured;
}

JobRow MakeRow(const JobRecord& record, Instant accepted_at,
               const SchedulerTables& tables) {
  const Shared<JobQueue> queue = QueueOf(record, tables.configuration_);
  const auto critical_path = std::chrono::duration_cast<Duration>(
      CriticalPath(*record.definition()) * queue->stretch());
  return JobRow::Builder()
      .record(record)
      .queue(queue)
      .accepted_at(accepted_at)
      .due(accepted_at + critical_path + queue->objective())
      .state(JobState::kQueued)
      .Build();
}

const JobStep& StepAt(const JobDefinition& definition, std::int32_t step) {
  return definition.steps()[static_cast<std::size_t>(step)];
}

JobTask MakeTask(const JobStep& step, const TaskProgress* known,
                 TaskStage stage) {
  JobTask::Builder builder;
  builder.stage(stage).step(step);
  if (known == nullptr) return builder.Build();
  return builder.stage(known->done() ? TaskStage::kDone : stage)
      .run(known->last_run())
      .failed_runs(known->failed_runs())
      .checkpoint(known->checkpoint())
      .Build();
}

// Adds the rows of the job's tasks and steps. Returns the job row with its
// counts of remaining work.
JobRow AddTasks(std::uint64_t job, const JobRow& row,
                const std::map<TaskPosition, TaskProgress>& known,
                TaskStage stage, SchedulerTables& tables) {
  const JobDefinition& definition = *row.record()->definition();
  std::map<StepKey, std::int32_t> left;
  std::int32_t tasks_left = 0;
  std::int64_t work_left = 0;
  ForEachTask(job, definition, [&](const TaskKey& key) {
    const JobStep& step = StepAt(definition, key.step());
    const auto found = known.find({key.occurrence(), key.step(), key.index()});
    const JobTask task =
        MakeTask(step, found == known.end() ? nullptr : &found->second, stage);
    std::int32_t& step_left = left[StepOf(key)];
    if (task.stage() != TaskStage::kDone) {
      ++step_left;
      ++tasks_left;
      work_left += DeclaredWork(step);
    }
    tables.tasks_.Put(key, task);
    if (found != known.end()) RestoreSuspect(key, found->second, tables);
  });
  for (const auto& [key, count] : left) {
    tables.steps_.Put(key, StepRow::Builder().left(count).Build());
  }
  return JobRow::Builder(row)
      .tasks_left(tasks_left)
      .work_left(work_left)
      .Build();
}

// Returns true if the occurrence may start. This is the only decision that
// depends on the wall clock.
bool IsDue(const JobDefinition& definition, std::int32_t occurrence,
           Instant now, const SchedulerTables& tables) {
  return definition.repeat_count() == 0 ||
         now >= DueTime(definition, occurrence, tables);
}

// Returns true if all steps that the step depends on are done.
bool IsUnlocked(std::uint64_t job, std::int32_t occurrence, const JobStep& step,
                const SchedulerTables& tables) {
  return std::all_of(
      step.after().begin(), step.after().end(), [&](std::int32_t before) {
        const StepRow* row = tables.steps_.Find(StepKey::Builder()
                                                    .job(job)
                                                    .occurrence(occurrence)
                                                    .step(before)
                                                    .Build());
        return row != nullptr && row->left() == 0;
      });
}

// Adds the evidence against a task to its stored progress. The number of a
// planned run must not be used again.
void AddSuspect(const SuspectRow& suspect, TaskProgress::Builder& progress) {
  const std::int64_t planned =
      suspect.isolated() ? suspect.isolated()->run() : 0;
  progress.crashed_runs(suspect.crashed_runs())
      .isolated(suspect.isolated())
      .last_run(std::max(progress.Build().last_run(), planned));
}

}  // namespace

std::int64_t DeclaredWork(const JobStep& step) {
  constexpr std::int64_t kMillicoresInCore = 1000;
  const auto run_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate())
          .count();
  // The product of the largest values overflows.
  const std::int64_t max_cpu = INT64_MAX / std::max<std::int64_t>(run_ms, 1);
  return std::min(std::min(step.cpu(), max_cpu) * run_ms / kMillicoresInCore,
                  kMaxResourceAmount);
}

Instant DueTime(const JobDefinition& definition, std::int32_t occurrence,
                const SchedulerTables& tables) {
  const std::int64_t due_ms =
      definition.first_due_ms() + occurrence * definition.interval_ms();
  return Instant(std::chrono::milliseconds(due_ms - tables.wall_offset_ms_));
}

bool IsFinalState(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled || state == JobState::kWithdrawn;
}

void MarkBegan(std::uint64_t job, SchedulerTables& tables,
               SchedulerTick& tick) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr || row->began() || IsFinalState(row->state())) return;
  LogLine(tick, "job-began", job,
          {FieldMs("wait_ms", tick.now() - row->accepted_at())});
  tables.jobs_.Put(
      job, JobRow::Builder(*row).began(true).state(JobState::kRunning).Build());
}

void AddSubmittedJob(std::uint64_t job, const JobRecord& record, Instant now,
                     SchedulerTables& tables) {
  // The holder may know a newer configuration than the entry.
  const JobRecord accepted = JobRecord::Builder(record)
                                 .queue(QueueOf(record, tables.configuration_))
                                 .Build();
  const JobRow row = MakeRow(accepted, now, tables);
  tables.jobs_.Put(job, AddTasks(job, row, {}, TaskStage::kBlocked, tables));
}

void AddWithdrawnJob(std::uint64_t job, Instant now, SchedulerTables& tables) {
  tables.jobs_.Put(
      job,
      JobRow::Builder().accepted_at(now).state(JobState::kWithdrawn).Build());
  tables.dirty_jobs_.Add(job, DirtyKind::kAwaited, now);
}

void RestoreJob(std::uint64_t job, const JobRecord& record,
                const JobProgress& progress, Instant accepted_at,
                SchedulerTables& tables) {
  std::map<TaskPosition, TaskProgress> known;
  for (const TaskProgress& task : progress.tasks()) {
    known[{task.occurrence(), task.step(), task.index()}] = task;
  }
  const JobRow row = JobRow::Builder(MakeRow(record, accepted_at, tables))
                         .stored(true)
                         .began(progress.state() == JobState::kRunning)
                         .state(progress.state())
                         .Build();
  tables.jobs_.Put(job, AddTasks(job, row, known, TaskStage::kInDoubt, tables));
}

void UnlockSteps(std::uint64_t job, std::int32_t occurrence, Instant now,
                 SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr || !row->stored() || IsFinalState(row->state())) return;
  const Shared<JobRecord> record = row->record();
  if (!IsDue(*record->definition(), occurrence, now, tables)) return;
  const std::vector<JobStep>& steps = record->definition()->steps();
  for (std::size_t number = 0; number < steps.size(); ++number) {
    if (!IsUnlocked(job, occurrence, steps[number], tables)) continue;
    for (std::int32_t index = 0; index < steps[number].count(); ++index) {
      const TaskKey key = TaskKey::Builder()
                              .job(job)
                              .occurrence(occurrence)
                              .step(static_cast<std::int32_t>(number))
                              .index(index)
                              .Build();
      const JobTask* task = tables.tasks_.Find(key);
      if (task == nullptr || task->stage() != TaskStage::kBlocked) continue;
      tables.tasks_.Put(key, JobTask::Builder(*task)
                                 .stage(TaskStage::kReady)
                                 .ready_since(now)
                                 .Build());
      tables.placement_due_ = true;
    }
  }
}

void EraseFinishedTasks(std::uint64_t job, SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr || !row->closed()) return;
  std::vector<TaskKey> keys;
  bool idle = true;
  ForEachTask(job, *row->record()->definition(), [&](const TaskKey& key) {
    const JobTask* task = tables.tasks_.Find(key);
    if (task != nullptr && task->stage() == TaskStage::kAssigned) idle = false;
    keys.push_back(key);
  });
  if (!idle) return;
  for (const TaskKey& key : keys) {
    tables.tasks_.Erase(key);
    tables.steps_.Erase(StepOf(key));
  }
  tables.jobs_.Put(job, JobRow::Builder(*row).record(JobRecord()).Build());
}

void DiscardJob(std::uint64_t job, SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  const Shared<JobRecord> record = row->record();
  ForEachTask(job, *record->definition(), [&](const TaskKey& key) {
    tables.tasks_.Erase(key);
    tables.steps_.Erase(StepOf(key));
  });
  tables.jobs_.Erase(job);
  tables.dirty_jobs_.Erase(job);
  tables.stored_progress_.erase(job);
  tables.jobs_without_checkpoints_.erase(job);
  tables.rejected_records_.Erase(JobRecordUnit::Builder().job(job).Build());
}

JobProgress ProgressOf(std::uint64_t job, const SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return JobProgress();
  std::vector<TaskProgress> tasks;
  if (!IsFinalState(row->state())) {
    ForEachTask(job, *row->record()->definition(), [&](const TaskKey& key) {
      const JobTask* task = tables.tasks_.Find(key);
      if (task == nullptr) return;
      const bool done = task->stage() == TaskStage::kDone;
      const SuspectRow* suspect = tables.suspects_.Find(key);
      const bool untouched = task->failed_runs().empty() &&
                             task->checkpoint().empty() && suspect == nullptr;
      if (!done && untouched) return;
      TaskProgress::Builder progress;
      progress.occurrence(key.occurrence())
          .step(key.step())
          .index(key.index())
          .done(done)
          .failed_runs(task->failed_runs())
          .last_run(task->run())
          .checkpoint(done ? "" : task->checkpoint());
      if (!done && suspect != nullptr) AddSuspect(*suspect, progress);
      tasks.push_back(progress.Build());
    });
  }
  return JobProgress::Builder()
      .state(row->state())
      .tasks(std::move(tasks))
      .Build();
}

void ReleaseDueOccurrences(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.next_occurrence_check_) {
    return tick.WakeAt(tables.next_occurrence_check_);
  }
  tables.next_occurrence_check_ = tick.now() + kOccurrenceCheckInterval;
  std::vector<std::pair<std::uint64_t, std::int32_t>> timed;
  for (const auto& [job, row] : tables.jobs_) {
    const std::int32_t count = row.record()->definition()->repeat_count();
    if (IsFinalState(row.state())) continue;
    for (std::int32_t k = 0; k < count; ++k) timed.emplace_back(job, k);
  }
  if (timed.empty()) return;
  tick.WakeAt(tables.next_occurrence_check_);
  // The wall clock may jump, so it is read again before each check.
  tick.Emit(ReadWallClock());
  for (const auto& [job, occurrence] : timed) {
    UnlockSteps(job, occurrence, tick.now(), tables);
  }
}

void ApplyQueueSettings(SchedulerTables& tables) {
  std::vector<std::pair<std::uint64_t, JobRow>> changed;
  for (const auto& [job, row] : tables.jobs_) {
    if (IsFinalState(row.state())) continue;
    const JobQueue* queue =
        FindQueue(row.record()->definition()->queue(), tables.configuration_);
    if (queue == nullptr || *queue == *row.queue()) continue;
    changed.emplace_back(job, JobRow::Builder(row).queue(*queue).Build());
  }
  for (auto& [job, row] : changed) tables.jobs_.Put(job, std::move(row));
}

}  // namespace quetzalline
