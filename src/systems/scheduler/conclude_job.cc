#include "systems/scheduler/conclude_job.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/open_job.h"

namespace quetzalline {
namespace {

// A worker whose runs fail this often in a row, none of them done, rests.
constexpr std::int32_t kFailuresBeforeRest = 4;
// First rest of a failing worker; each further one is twice as long.
constexpr Duration kFirstRest = std::chrono::milliseconds(2000);
constexpr std::int32_t kLongestRestShift = 3;

std::string TaskText(const TaskKey& key) {
  return std::to_string(key.occurrence()) + "." + std::to_string(key.step()) +
         "." + std::to_string(key.index());
}

void CountOutcome(const MemberName& name, RunOutcome outcome, Instant now,
                  SchedulerTables& tables) {
  const WorkerRow* worker = tables.workers_.Find(name);
  if (worker == nullptr) return;
  if (outcome == RunOutcome::kDone) {
    if (worker->failures() == 0) return;
    tables.workers_.Put(name, WorkerRow::Builder(*worker).failures(0).Build());
    return;
  }
  if (outcome != RunOutcome::kFailed) return;
  WorkerRow::Builder builder(*worker);
  const std::int32_t failures = worker->failures() + 1;
  builder.failures(failures);
  if (failures >= kFailuresBeforeRest) {
    const std::int32_t shift =
        std::min(failures - kFailuresBeforeRest, kLongestRestShift);
    builder.rests_until(now + kFirstRest * (1 << shift));
  }
  tables.workers_.Put(name, builder.Build());
}

void FinishTask(const TaskKey& key, const JobTask& task,
                SchedulerTables& tables, SchedulerTick& tick) {
  const Shared<JobStep>& step = task.step();
  tables.tasks_.Put(key,
                    JobTask::Builder(task).stage(TaskStage::kDone).Build());
  tick.counters().Add(Counter::kTasksFinished);
  const StepRow* row = tables.steps_.Find(StepOf(key));
  const std::int32_t left = row == nullptr ? 0 : row->left() - 1;
  tables.steps_.Put(StepOf(key), StepRow::Builder().left(left).Build());
  const JobRow* job = tables.jobs_.Find(key.job());
  const JobRow changed = JobRow::Builder(*job)
                             .tasks_left(job->tasks_left() - 1)
                             .work_left(job->work_left() - WorkOf(*step))
                             .Build();
  tables.jobs_.Put(key.job(), changed);
  if (changed.tasks_left() == 0) {
    ConcludeJob(key.job(), JobState::kCompleted, Reason::kNone, tables, tick);
  } else if (left == 0) {
    UnlockSteps(key.job(), key.occurrence(), tick.now(), tables);
  }
}

// The end of one member of a gang stands for all members of its run.
void FinishGang(const TaskKey& key, std::int64_t run, SchedulerTables& tables,
                SchedulerTick& tick) {
  const std::int32_t count = tables.tasks_.Find(key)->step()->count();
  for (std::int32_t index = 0; index < count; ++index) {
    const TaskKey member = TaskKey::Builder(key).index(index).Build();
    const JobTask* task = tables.tasks_.Find(member);
    if (task == nullptr || task->stage() == TaskStage::kDone) continue;
    if (member != key && task->run() != run) continue;
    const JobTask finished = *task;
    FinishTask(member, finished, tables, tick);
  }
}

// Stops the run of a task that another run has done. It takes room on its
// worker until its own end is listed, although the task is over.
void StopSuperseded(const TaskKey& key, SchedulerTables& tables,
                    SchedulerTick& tick) {
  const JobTask task = *tables.tasks_.Find(key);
  if (task.stage() != TaskStage::kAssigned) return;
  tables.orphaned_runs_[task.worker()].insert(
      RunKey::Builder().task(key).run(task.run()).Build());
  StopTask(key, Reason::kStaleAttempt, tables, tick);
}

// Whether the failure of the run has been counted: a worker lists an end again
// to a later holder that knows its effect already.
bool HasCounted(const JobTask& task, std::int64_t run) {
  const auto& failed = task.failed_runs();
  return std::find(failed.begin(), failed.end(), run) != failed.end();
}

// The checkpoint of an earlier run says less than that of a later one.
std::string NewerCheckpoint(const JobTask& task, const RunEnd& end) {
  const bool newer = end.run().run() >= task.run() && !end.checkpoint().empty();
  return newer ? end.checkpoint() : task.checkpoint();
}

}  // namespace

void ReturnTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
                SchedulerTick& tick) {
  const JobTask* task = tables.tasks_.Find(key);
  if (task == nullptr || task->stage() != TaskStage::kAssigned) return;
  LogLine(tick, "task-returned", key.job(),
          {Field("task", TaskText(key)), Field("run", task->run()),
           Field("worker", task->worker().value()), Field("reason", reason)});
  tick.counters().Add(Counter::kTasksEvicted, reason);
  const JobRow* job = tables.jobs_.Find(key.job());
  const bool over = job == nullptr || IsOver(job->state());
  tables.tasks_.Put(key, JobTask::Builder(*task)
                             .stage(over ? TaskStage::kDone : TaskStage::kReady)
                             .ready_since(tick.now())
                             .stopping(false)
                             .Build());
  tables.placement_due_ = true;
  if (over) EraseQuietTasks(key.job(), tables);
}

void StopStray(const MemberName& worker, const RunKey& run,
               SchedulerTables& tables, SchedulerTick& tick) {
  const MemberRow* member = tables.members_.Find(worker);
  if (member == nullptr || !member->connection()) return;
  tick.Emit(SendToRunner::Builder()
                .connection(*member->connection())
                .message(StopRun::Builder().run(run).Build())
                .Build());
}

void StopTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
              SchedulerTick& tick) {
  const JobTask* task = tables.tasks_.Find(key);
  if (task == nullptr || task->stage() != TaskStage::kAssigned) return;
  if (task->stopping()) return;
  const RunKey run = RunKey::Builder().task(key).run(task->run()).Build();
  LogLine(tick, "task-stopped", key.job(),
          {Field("task", TaskText(key)), Field("run", task->run()),
           Field("worker", task->worker().value()), Field("reason", reason)});
  const MemberName worker = task->worker();
  tables.tasks_.Put(key, JobTask::Builder(*task).stopping(true).Build());
  StopStray(worker, run, tables, tick);
}

void ConcludeJob(std::uint64_t job, JobState state, Reason reason,
                 SchedulerTables& tables, SchedulerTick& tick) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr || IsOver(row->state())) return;
  LogLine(tick, "job-over", job,
          {Field("state", state), Field("reason", reason),
           FieldMs("age_ms", tick.now() - row->accepted_at()),
           Field("tasks_left", row->tasks_left())});
  tables.jobs_.Put(job, JobRow::Builder(*row).state(state).Build());
  tables.dirty_jobs_.Add(job, DirtyKind::kAwaited, tick.now());
  tables.placement_due_ = true;
  std::vector<TaskKey> keys;
  ForEachTask(job, *row->record()->definition(),
              [&](const TaskKey& key) { keys.push_back(key); });
  for (const TaskKey& key : keys) {
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr) continue;
    if (task->stage() == TaskStage::kAssigned) {
      StopTask(key, reason, tables, tick);
    } else {
      tables.tasks_.Put(
          key, JobTask::Builder(*task).stage(TaskStage::kDone).Build());
    }
  }
}

void TakeRunEnd(const MemberName& worker, const RunEnd& end,
                SchedulerTables& tables, SchedulerTick& tick) {
  const TaskKey& key = end.run().task();
  const JobTask* task = tables.tasks_.Find(key);
  const bool lasts = task != nullptr && task->step()->long_running();
  if (!lasts) CountOutcome(worker, end.outcome(), tick.now(), tables);
  if (task == nullptr) return;
  const JobRow* job = tables.jobs_.Find(key.job());
  // The end may be forgotten only once the final state of the job is kept.
  if (IsOver(job->state()) && !job->closed()) {
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kAwaited, tick.now());
  }
  if (task->stage() == TaskStage::kDone) return;
  const bool current = task->stage() == TaskStage::kAssigned &&
                       task->worker() == worker &&
                       task->run() == end.run().run();
  LogLine(tick, "run-ended", key.job(),
          {Field("task", TaskText(key)), Field("run", end.run().run()),
           Field("worker", worker.value()), Field("outcome", end.outcome()),
           Field("current", current ? 1 : 0)});
  tables.placement_due_ = true;
  if (IsOver(job->state())) {
    if (!current) return;
    tables.tasks_.Put(key,
                      JobTask::Builder(*task).stage(TaskStage::kDone).Build());
    return EraseQuietTasks(key.job(), tables);
  }
  const bool long_running = task->step()->long_running();
  if (end.outcome() == RunOutcome::kDone && !long_running) {
    if (!current) StopSuperseded(key, tables, tick);
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kProgress, tick.now());
    const JobTask finished = *tables.tasks_.Find(key);
    if (finished.step()->gang()) {
      return FinishGang(key, end.run().run(), tables, tick);
    }
    return FinishTask(key, finished, tables, tick);
  }
  const bool failed = end.outcome() == RunOutcome::kFailed && !long_running &&
                      !HasCounted(*task, end.run().run());
  JobTask::Builder builder(*task);
  builder.checkpoint(NewerCheckpoint(*task, end))
      .run(std::max(task->run(), end.run().run()));
  if (failed) {
    std::vector<std::int64_t> failed_runs = task->failed_runs();
    failed_runs.push_back(end.run().run());
    builder.failed_runs(std::move(failed_runs));
  }
  if (current) {
    builder.stage(TaskStage::kReady).ready_since(tick.now()).stopping(false);
  }
  const JobTask changed = builder.Build();
  tables.tasks_.Put(key, changed);
  if (failed || !changed.checkpoint().empty()) {
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kProgress, tick.now());
  }
  const auto failures = static_cast<std::int32_t>(changed.failed_runs().size());
  if (failed && failures >= job->queue()->max_attempts()) {
    tick.counters().Add(Counter::kTasksFailed);
    ConcludeJob(key.job(), JobState::kFailed, Reason::kTooManyAttempts, tables,
                tick);
  }
}

}  // namespace quetzalline
