#include "systems/scheduler/find_idle_reason.h"

#include <set>

#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Returns the job's tasks of unknown state, or nothing if there are none.
std::optional<StateUnknown> FindTasksInDoubt(std::uint64_t job,
                                             const SchedulerTables& tables) {
  const std::set<TaskKey>& unknown = tables.tasks_.unreconciled();
  const auto first = unknown.lower_bound(TaskKey::Builder().job(job).Build());
  std::int32_t tasks = 0;
  for (auto task = first; task != unknown.end() && task->job() == job; ++task) {
    ++tasks;
  }
  if (tasks == 0) return std::nullopt;
  return StateUnknown::Builder().task(*first).tasks(tasks).Build();
}

// Returns what keeps the job's ready tasks from being placed, or nothing if it
// has none. A step that a worker could take goes before others.
std::optional<IdleReason> FindReadyReason(std::uint64_t job, const JobRow& row,
                                          const SchedulerTables& tables) {
  const JobTaskTable::ReadySteps& ready = tables.tasks_.ready();
  std::optional<IdleReason> found;
  for (auto step = ready.lower_bound(StepKey::Builder().job(job).Build());
       step != ready.end() && step->first.job() == job; ++step) {
    const IdleReason reason = ReasonOfReady(step->first, row, tables);
    if (std::holds_alternative<NoWorker>(reason)) return reason;
    if (!found) found = reason;
  }
  return found;
}

SuspectHold HoldOf(const SuspectRow& row, bool gang, Instant now) {
  if (now < row.not_before()) return SuspectHold::kDelay;
  if (!row.stored() && (gang || row.planned())) return SuspectHold::kStore;
  return row.planned() ? SuspectHold::kTurn : SuspectHold::kWorker;
}

// Returns the job's suspect that is next to start, or nothing if none waits.
std::optional<SuspectHeld> FindSuspect(std::uint64_t job,
                                       const SchedulerTables& tables,
                                       Instant now) {
  std::optional<SuspectHeld> next;
  auto row = tables.suspects_.LowerBound(TaskKey::Builder().job(job).Build());
  for (; row != tables.suspects_.end() && row->first.job() == job; ++row) {
    const JobTask* task = tables.tasks_.Find(row->first);
    if (task == nullptr || task->stage() != TaskStage::kQuarantined) continue;
    const SuspectHold hold = HoldOf(row->second, task->step()->gang(), now);
    // One task of a job is planned at a time, and the others wait for it.
    if (next && !row->second.planned()) continue;
    next = SuspectHeld::Builder()
               .task(row->first)
               .hold(hold)
               .crashes(
                   static_cast<std::int32_t>(row->second.crashed_runs().size()))
               .Build();
  }
  return next;
}

// Returns the first step that is not done although its occurrence is due.
std::optional<StepBlocked> FindBlockedStep(std::uint64_t job, const JobRow& row,
                                           const SchedulerTables& tables,
                                           Instant now) {
  const JobDefinition& definition = *row.record()->definition();
  auto step = tables.steps_.LowerBound(StepKey::Builder().job(job).Build());
  for (; step != tables.steps_.end() && step->first.job() == job; ++step) {
    const bool due =
        definition.repeat_count() == 0 ||
        now >= DueTime(definition, step->first.occurrence(), tables);
    if (due && step->second.left() > 0) {
      return StepBlocked::Builder().step(step->first).Build();
    }
  }
  return std::nullopt;
}

}  // namespace

const JobStep& StepOfJob(const StepKey& key, const JobRow& job) {
  return job.record()
      ->definition()
      ->steps()[static_cast<std::size_t>(key.step())];
}

IdleReason ReasonOfReady(const StepKey& key, const JobRow& job,
                         const SchedulerTables& tables) {
  const JobStep& step = StepOfJob(key, job);
  const auto ready =
      static_cast<std::int32_t>(tables.tasks_.ready().at(key).size());
  if (!step.gang() || ready == step.count()) {
    return NoWorker::Builder().step(key).Build();
  }
  return GangIncomplete::Builder()
      .step(key)
      .ready(ready)
      .missing(step.count() - ready)
      .Build();
}

UnheardTasks FindUnheardTasks(const SchedulerTables& tables) {
  UnheardTasks unheard;
  for (const auto& [name, worker] : tables.workers_) {
    if (worker.alive() && !worker.silent()) continue;
    for (const TaskKey& task : tables.tasks_.TasksOnWorker(name)) {
      WorkerUnheard& entry = unheard[task.job()];
      entry = WorkerUnheard::Builder()
                  .worker(name)
                  .tasks(entry.tasks() + 1)
                  .Build();
    }
  }
  return unheard;
}

std::optional<IdleReason> FindIdleReason(std::uint64_t job, const JobRow& row,
                                         const IdleSearch& search,
                                         const SchedulerTables& tables) {
  const std::int32_t active = tables.tasks_.ActiveIn(job);
  const auto lost = search.unheard_.find(job);
  const std::int32_t lost_tasks =
      lost == search.unheard_.end() ? 0 : lost->second.tasks();
  if (active > lost_tasks && tables.tasks_.unreconciled().empty()) {
    return std::nullopt;
  }
  const std::optional<StateUnknown> unknown = FindTasksInDoubt(job, tables);
  if (active > lost_tasks + (unknown ? unknown->tasks() : 0)) {
    return std::nullopt;
  }
  if (!row.stored()) return JobNotStored();
  const std::optional<IdleReason> ready = FindReadyReason(job, row, tables);
  const std::optional<SuspectHeld> suspect =
      FindSuspect(job, tables, search.now_);
  if ((ready || suspect) && !search.may_act_) return HolderUnconfirmed();
  if (ready) return ready;
  if (suspect) return suspect;
  if (unknown) return unknown;
  if (lost_tasks > 0) return lost->second;
  if (const auto blocked = FindBlockedStep(job, row, tables, search.now_)) {
    return *blocked;
  }
  return std::nullopt;
}

}  // namespace quetzalline
