#include "systems/scheduler/finish_job.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/run_numbers.h"
#include "systems/scheduler/track_crashes.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// A worker is quarantined after this many failed runs without a successful one
// between them.
constexpr std::int32_t kFailuresBeforeQuarantine = 4;
// Duration of the first quarantine. Each further one is twice as long, up to
// eight times the first.
constexpr Duration kInitialQuarantine = std::chrono::milliseconds(2000);
constexpr std::int32_t kMaxQuarantineShift = 3;

std::string FormatTaskId(const TaskKey& key) {
  return std::to_string(key.occurrence()) + "." + std::to_string(key.step()) +
         "." + std::to_string(key.index());
}

// Returns true if at most half of the service's workers have reached the number
// of failures for a quarantine. If more have, the failures do not distinguish
// one worker from the others: the tasks are at fault.
bool AreMostWorkersSound(const ServiceName& service,
                         const SchedulerTables& tables) {
  std::size_t workers = 0;
  std::size_t failing = 0;
  for (const auto& [name, worker] : tables.workers_) {
    if (!worker.reported() || !worker.facts()) continue;
    if (worker.facts()->service() != service) continue;
    ++workers;
    if (worker.failures() >= kFailuresBeforeQuarantine) ++failing;
  }
  return 2 * failing <= workers;
}

// Returns true if the end of a run of the task, which may be unknown, is
// evidence about its worker. A task that has failed before, on another worker
// if there was one, is more likely to be at fault than the worker.
bool IsEvidence(const JobTask* task, RunOutcome outcome) {
  if (task == nullptr) return true;
  if (task->step()->long_running()) return false;
  return outcome != RunOutcome::kFailed || task->failed_runs().empty();
}

// Counts the failures of a worker since its last successful run and quarantines
// it after too many, unless most workers of its service fail as well. The task
// may be unknown.
void CountOutcome(const MemberName& name, const JobTask* task,
                  RunOutcome outcome, Instant now, SchedulerTables& tables) {
  const WorkerRow* worker = tables.workers_.Find(name);
  if (worker == nullptr || !IsEvidence(task, outcome)) return;
  if (outcome == RunOutcome::kDone) {
    if (worker->failures() == 0) return;
    tables.workers_.Put(name, WorkerRow::Builder(*worker).failures(0).Build());
    return;
  }
  if (outcome != RunOutcome::kFailed) return;
  // Runs that end during a quarantine were started before it, so their failures
  // are no further evidence.
  if (worker->failures() >= kFailuresBeforeQuarantine &&
      now < worker->rests_until()) {
    return;
  }
  const std::int32_t failures = worker->failures() + 1;
  const WorkerRow counted =
      WorkerRow::Builder(*worker).failures(failures).Build();
  tables.workers_.Put(name, counted);
  if (failures < kFailuresBeforeQuarantine || !counted.facts()) return;
  if (!AreMostWorkersSound(counted.facts()->service(), tables)) return;
  const std::int32_t shift =
      std::min(failures - kFailuresBeforeQuarantine, kMaxQuarantineShift);
  tables.workers_.Put(name,
                      WorkerRow::Builder(counted)
                          .rests_until(now + kInitialQuarantine * (1 << shift))
                          .Build());
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
                             .work_left(job->work_left() - DeclaredWork(*step))
                             .Build();
  tables.jobs_.Put(key.job(), changed);
  if (changed.tasks_left() == 0) {
    FinishJob(key.job(), JobState::kCompleted, Reason::kNone, tables, tick);
  } else if (left == 0) {
    UnlockSteps(key.job(), key.occurrence(), tick.now(), tables);
  }
}

// Stops the current run of a task that another run has completed. The run
// occupies capacity on its worker until its own end is reported, although the
// task is done, so it is recorded in orphaned_runs_.
void StopSuperseded(const TaskKey& key, SchedulerTables& tables,
                    SchedulerTick& tick) {
  const JobTask task = *tables.tasks_.Find(key);
  if (task.stage() != TaskStage::kAssigned) return;
  tables.orphaned_runs_[task.worker()].insert(
      RunKey::Builder().task(key).run(task.run()).Build());
  StopTask(key, Reason::kStaleAttempt, tables, tick);
}

// Returns true if the failure of this run has been counted already. A worker
// reports unacknowledged completions again to the next holder, which may have
// loaded their effect from the store.
bool IsFailureCounted(const JobTask& task, std::int64_t run) {
  const auto& failed = task.failed_runs();
  return std::find(failed.begin(), failed.end(), run) != failed.end();
}

// Returns the stage of a task whose run is over without success. Runners that
// have not answered since a failover may still list ends of its earlier runs: a
// success, or failures that use up its attempts. Until all have, the state of a
// task of an earlier term is unknown again. Long-running tasks are restarted
// however their runs end.
TaskStage StageAfterRun(const JobTask& task, const HolderTerm& term) {
  const bool may_have_ended = !term.settled() && !task.step()->long_running() &&
                              task.run() <= LastEarlierRun(term);
  return may_have_ended ? TaskStage::kInDoubt : TaskStage::kReady;
}

// Returns the checkpoint of the latest run. A delayed completion of an earlier
// run must not replace it.
std::string LatestCheckpoint(const JobTask& task, const RunEnd& end) {
  const bool newer = end.run().run() >= task.run() && !end.checkpoint().empty();
  return newer ? end.checkpoint() : task.checkpoint();
}

// Records the end of a run that did not complete its task. The task becomes
// ready if that was its current run, unless it has no attempts left.
void HandleUnsuccessfulRun(const RunEnd& end, bool current,
                           SchedulerTables& tables, SchedulerTick& tick) {
  const TaskKey& key = end.run().task();
  const JobTask* task = tables.tasks_.Find(key);
  const bool failed = end.outcome() == RunOutcome::kFailed &&
                      !task->step()->long_running() &&
                      !IsFailureCounted(*task, end.run().run());
  JobTask::Builder builder(*task);
  builder.checkpoint(LatestCheckpoint(*task, end))
      .run(std::max(task->run(), end.run().run()));
  if (failed) {
    std::vector<std::int64_t> failed_runs = task->failed_runs();
    failed_runs.push_back(end.run().run());
    builder.failed_runs(std::move(failed_runs));
  }
  if (current) {
    builder.stage(StageAfterRun(*task, tables.term_))
        .ready_since(tick.now())
        .stopping(false);
  }
  const JobTask changed = builder.Build();
  tables.tasks_.Put(key, changed);
  if (failed || !changed.checkpoint().empty()) {
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kProgress, tick.now());
  }
  const auto failures = static_cast<std::int32_t>(changed.failed_runs().size());
  if (failed &&
      failures >= tables.jobs_.Find(key.job())->queue()->max_attempts()) {
    tick.counters().Add(Counter::kTasksFailed);
    FinishJob(key.job(), JobState::kFailed, Reason::kTooManyAttempts, tables,
              tick);
  }
}

}  // namespace

void FinishGang(const TaskKey& key, std::int64_t run, SchedulerTables& tables,
                SchedulerTick& tick) {
  const std::int32_t count = tables.tasks_.Find(key)->step()->count();
  for (std::int32_t index = 0; index < count; ++index) {
    const TaskKey member = TaskKey::Builder(key).index(index).Build();
    const JobTask* task = tables.tasks_.Find(member);
    if (task == nullptr || task->stage() == TaskStage::kDone) continue;
    if (task->run() != run) StopSuperseded(member, tables, tick);
    const JobTask finished = *tables.tasks_.Find(member);
    FinishTask(member, finished, tables, tick);
  }
}

void ReturnTask(const TaskKey& key, Reason reason, SchedulerTables& tables,
                SchedulerTick& tick) {
  const JobTask* task = tables.tasks_.Find(key);
  if (task == nullptr || task->stage() != TaskStage::kAssigned) return;
  LogLine(tick, "task-returned", key.job(),
          {Field("task", FormatTaskId(key)), Field("run", task->run()),
           Field("worker", task->worker().value()), Field("reason", reason)});
  tick.counters().Add(Counter::kTasksEvicted, reason);
  const JobRow* job = tables.jobs_.Find(key.job());
  const bool job_finished = job == nullptr || IsFinalState(job->state());
  tables.tasks_.Put(
      key, JobTask::Builder(*task)
               .stage(job_finished ? TaskStage::kDone
                                   : StageAfterRun(*task, tables.term_))
               .ready_since(tick.now())
               .stopping(false)
               .Build());
  tables.placement_due_ = true;
  if (job_finished) EraseFinishedTasks(key.job(), tables);
}

void SendStopRun(const MemberName& worker, const RunKey& run,
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
          {Field("task", FormatTaskId(key)), Field("run", task->run()),
           Field("worker", task->worker().value()), Field("reason", reason)});
  const MemberName worker = task->worker();
  tables.tasks_.Put(key, JobTask::Builder(*task).stopping(true).Build());
  SendStopRun(worker, run, tables, tick);
}

void FinishJob(std::uint64_t job, JobState state, Reason reason,
               SchedulerTables& tables, SchedulerTick& tick) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr || IsFinalState(row->state())) return;
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

void HandleRunEnd(const MemberName& worker, const RunEnd& end,
                  SchedulerTables& tables, SchedulerTick& tick) {
  const TaskKey& key = end.run().task();
  const JobTask* task = tables.tasks_.Find(key);
  CountOutcome(worker, task, end.outcome(), tick.now(), tables);
  if (task == nullptr) return;
  const JobRow* job = tables.jobs_.Find(key.job());
  // A completion is acknowledged only once its job's final state is stored.
  if (IsFinalState(job->state()) && !job->closed()) {
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kAwaited, tick.now());
  }
  if (task->stage() == TaskStage::kDone) return;
  const bool current = task->stage() == TaskStage::kAssigned &&
                       task->worker() == worker &&
                       task->run() == end.run().run();
  LogLine(tick, "run-ended", key.job(),
          {Field("task", FormatTaskId(key)), Field("run", end.run().run()),
           Field("worker", worker.value()), Field("outcome", end.outcome()),
           Field("current", current ? 1 : 0)});
  tables.placement_due_ = true;
  MarkBegan(key.job(), tables, tick);
  ClearEndedSuspect(end, tables, tick);
  if (IsFinalState(job->state())) {
    if (!current) return;
    tables.tasks_.Put(key,
                      JobTask::Builder(*task).stage(TaskStage::kDone).Build());
    return EraseFinishedTasks(key.job(), tables);
  }
  if (end.outcome() == RunOutcome::kDone && !task->step()->long_running()) {
    if (!current) StopSuperseded(key, tables, tick);
    tables.dirty_jobs_.Add(key.job(), DirtyKind::kProgress, tick.now());
    const JobTask finished = *tables.tasks_.Find(key);
    if (finished.step()->gang()) {
      return FinishGang(key, end.run().run(), tables, tick);
    }
    return FinishTask(key, finished, tables, tick);
  }
  HandleUnsuccessfulRun(end, current, tables, tick);
}

}  // namespace quetzalline
