#include "systems/scheduler/place_runs.h"

#include <algorithm>
#include <tuple>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/explain_idle_jobs.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/isolate_suspects.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/run_numbers.h"
#include "systems/scheduler/send_start.h"
#include "systems/scheduler/track_idle_jobs.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

// A job whose age exceeds its allowed time by this factor cannot earn anything
// any more and is placed last.
constexpr int kUnmeetableDeadlineFactor = 3;
// Interval of placement passes while work waits.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(200);

// After a pass that left ready tasks without a worker, changes are batched for
// this long before the next pass: a twentieth of the shortest objective.
constexpr Duration kPlacementBatchDelay = std::chrono::milliseconds(30);
// Minimum time between two log lines on waiting work.
constexpr Duration kWaitLogInterval = std::chrono::seconds(1);

// Placement order; lower values first.
enum class PlacementClass : std::uint8_t {
  kUrgent,
  kService,
  kBestEffort,
  kUnmeetable
};

struct ReadyStep {
  PlacementClass placement_class_;
  /// Start of the present idle spell of a starved job, otherwise the latest
  /// time.
  Instant starved_since_;
  std::int32_t priority_;
  Instant due_;
  StepKey key_;

  friend auto operator<=>(const ReadyStep&, const ReadyStep&) = default;
};

const JobStep& StepAt(const JobRow& job, std::int32_t step) {
  return job.record()->definition()->steps()[static_cast<std::size_t>(step)];
}

ReadyStep Rank(const StepKey& key, const JobRow& job,
               const SchedulerTables& tables, Instant now) {
  const JobStep& step = StepAt(job, key.step());
  PlacementClass placement_class =
      step.fills() ? PlacementClass::kBestEffort : PlacementClass::kUrgent;
  const bool starved = IsStarved(key.job(), tables) && !step.long_running();
  // Best-effort work is placed all the time, so a job that is placed after all
  // of it might never start.
  if (IsUnmeetable(job, now)) {
    placement_class =
        starved ? PlacementClass::kBestEffort : PlacementClass::kUnmeetable;
  }
  if (step.long_running()) placement_class = PlacementClass::kService;
  const Instant starved_since =
      starved ? tables.idle_jobs_.Find(key.job())->since() : Instant::max();
  return ReadyStep{placement_class, starved_since, job.queue()->priority(),
                   job.due(), key};
}

std::vector<ReadyStep> RankReadySteps(const SchedulerTables& tables,
                                      Instant now) {
  std::vector<ReadyStep> ranked;
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const JobRow* job = tables.jobs_.Find(key.job());
    if (job == nullptr) continue;
    ranked.push_back(Rank(key, *job, tables, now));
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

// Assigns the task to the worker. The command to start it is sent by
// SendAssigned().
void Assign(const TaskKey& key, const MemberName& worker, std::int64_t run,
            const std::string& checkpoint, SchedulerTables& tables,
            Instant now) {
  const JobTask* task = tables.tasks_.Find(key);
  tables.tasks_.Put(key, JobTask::Builder(*task)
                             .stage(TaskStage::kAssigned)
                             .run(run)
                             .worker(worker)
                             .checkpoint(checkpoint)
                             .assigned_at(now)
                             .percent(0)
                             .stopping(false)
                             .Build());
}

// Returns the number of the task's next run, which is higher than any number
// used by this or an earlier holder.
std::int64_t NextRun(const JobTask& task, const SchedulerTables& tables) {
  return std::max(task.run(), LastEarlierRun(tables.term_)) + 1;
}

// Sends the command to start an assigned task.
void SendAssigned(const TaskKey& key, SchedulerTables& tables,
                  SchedulerTick& tick) {
  const JobTask started = *tables.tasks_.Find(key);
  const MemberName& worker = started.worker();
  tick.counters().Add(Counter::kTasksAssigned);
  MarkTried(key.job(), tables, tick.now());
  const WorkerUse& use = tables.tasks_.UseOf(worker);
  LogLine(tick, "task-placed", key.job(),
          {Field("step", key.step()), Field("index", key.index()),
           Field("run", started.run()), Field("worker", worker.value()),
           Field("use_cpu", use.cpu()), Field("use_fill", use.fill_cpu()),
           Field("use_serving", use.serving_cpu()),
           Field("fills", started.step()->fills() ? 1 : 0),
           FieldMs("estimate_ms", started.step()->estimate()),
           Field("step_cpu", started.step()->cpu())});
  SendStart(worker, key, tables, tick);
}

std::vector<TaskKey> TasksOf(const StepKey& key,
                             const std::set<std::int32_t>& indexes) {
  std::vector<TaskKey> tasks;
  for (const std::int32_t index : indexes) {
    tasks.push_back(TaskKey::Builder()
                        .job(key.job())
                        .occurrence(key.occurrence())
                        .step(key.step())
                        .index(index)
                        .Build());
  }
  return tasks;
}

// State of a step while its ready tasks are placed.
struct StepPlacement {
  StepKey key_;
  Shared<JobRecord> record_;
  ServiceName service_;
  std::vector<WorkerCandidate> candidates_;
  WaitCauses causes_;

  const JobStep& step() const {
    return record_->definition()
        ->steps()[static_cast<std::size_t>(key_.step())];
  }
};

// Evaluates the worker again that took a task; it may have capacity for
// another.
void ReevaluateCandidate(std::size_t position, const SchedulerTables& tables,
                         PlacementPass& pass, StepPlacement& placement) {
  auto& candidates = placement.candidates_;
  const auto candidate =
      candidates.begin() + static_cast<std::ptrdiff_t>(position);
  // Each worker is counted once.
  if (candidate->interferes_) --placement.causes_.interference_;
  if (candidate->quarantined_) --placement.causes_.quarantined_;
  const auto updated =
      EvaluateWorker(placement.key_, placement.step(), placement.service_,
                     candidate->worker_, tables, pass, placement.causes_);
  if (updated) {
    *candidate = *updated;
  } else {
    candidates.erase(candidate);
  }
}

// Evaluates all candidates again once a starved job has a task: the others may
// not overcommit.
void ReevaluateCandidates(const SchedulerTables& tables, PlacementPass& pass,
                          StepPlacement& placement) {
  for (std::size_t i = placement.candidates_.size(); i > 0; --i) {
    ReevaluateCandidate(i - 1, tables, pass, placement);
  }
}

// Returns true if the task has waited so long, beside free capacity, that it
// may use workers that are otherwise avoided. Earlier idle spells of its job do
// not count: they are no reason to disturb a service or to retry at once on a
// worker that fails its tasks.
bool IsOverdue(const TaskKey& key, const JobTask& task, bool half_free,
               const SchedulerTables& tables, Instant now) {
  if (HasLongIdleSpell(key.job(), tables, now)) return true;
  return half_free &&
         now - task.ready_since() > tables.policy_.placement().longest_wait();
}

// Completes the ready tasks of a gang if another of its tasks is done. A state
// that an earlier version stored may contain such a gang.
bool FinishEndedGang(const TaskKey& ready, std::int32_t count,
                     SchedulerTables& tables, SchedulerTick& tick) {
  for (std::int32_t index = 0; index < count; ++index) {
    const TaskKey member = TaskKey::Builder(ready).index(index).Build();
    const JobTask* task = tables.tasks_.Find(member);
    if (task == nullptr || task->stage() != TaskStage::kDone) continue;
    tables.dirty_jobs_.Add(ready.job(), DirtyKind::kProgress, tick.now());
    FinishGang(member, task->run(), tables, tick);
    return true;
  }
  return false;
}

// Places all tasks of a gang as one run, or none of them. Returns false if they
// wait, either for workers or for the end of earlier runs of other tasks.
bool PlaceGang(const std::vector<TaskKey>& tasks, bool half_free,
               PlacementPass& pass, StepPlacement& placement,
               SchedulerTables& tables, SchedulerTick& tick) {
  const JobStep& step = placement.step();
  if (tasks.size() != static_cast<std::size_t>(step.count())) {
    return FinishEndedGang(tasks.front(), step.count(), tables, tick);
  }
  std::int64_t run = 0;
  std::string checkpoint;
  bool overdue = true;
  std::vector<JobTask> previous;
  for (const TaskKey& task : tasks) {
    previous.push_back(*tables.tasks_.Find(task));
    overdue = overdue &&
              IsOverdue(task, previous.back(), half_free, tables, tick.now());
    if (previous.back().run() >= run && !previous.back().checkpoint().empty()) {
      checkpoint = previous.back().checkpoint();
    }
    run = std::max(run, NextRun(previous.back(), tables));
  }
  std::vector<std::size_t> used;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const auto best =
        BestCandidate(placement.candidates_, overdue, MemberName(), pass);
    if (!best) {
      for (std::size_t k = 0; k < i; ++k) {
        tables.tasks_.Put(tasks[k], previous[k]);
        RefreshWorker(used[k], tables, pass);
      }
      return false;
    }
    used.push_back(placement.candidates_[*best].worker_);
    Assign(tasks[i], pass.workers_[used.back()].name_, run, checkpoint, tables,
           tick.now());
    RefreshWorker(used.back(), tables, pass);
    ReevaluateCandidate(*best, tables, pass, placement);
  }
  for (const TaskKey& task : tasks) SendAssigned(task, tables, tick);
  pass.starts_left_ -= step.count();
  return true;
}

// Places the tasks independently of each other. Returns true if all of them
// found a worker.
bool PlaceTasks(const std::vector<TaskKey>& tasks, bool half_free,
                PlacementPass& pass, StepPlacement& placement,
                SchedulerTables& tables, SchedulerTick& tick) {
  bool placed_all = true;
  for (const TaskKey& task : tasks) {
    if (pass.starts_left_ <= 0) return false;
    const JobTask& row = *tables.tasks_.Find(task);
    const bool starved = IsStarved(task.job(), tables);
    const bool overdue = IsOverdue(task, row, half_free, tables, tick.now());
    if (!placed_all && !overdue) continue;
    const MemberName failed_on =
        row.failed_runs().empty() ? MemberName() : row.worker();
    const auto best =
        BestCandidate(placement.candidates_, overdue, failed_on, pass);
    if (!best) {
      placed_all = false;
      if (placement.candidates_.empty()) return false;
      continue;
    }
    const std::size_t worker = placement.candidates_[*best].worker_;
    Assign(task, pass.workers_[worker].name_, NextRun(row, tables),
           row.checkpoint(), tables, tick.now());
    --pass.starts_left_;
    SendAssigned(task, tables, tick);
    RefreshWorker(worker, tables, pass);
    if (starved) {
      ReevaluateCandidates(tables, pass, placement);
    } else {
      ReevaluateCandidate(*best, tables, pass, placement);
    }
  }
  return placed_all;
}

// Logs at intervals why work waits, separately for best-effort and other work.
// The line describes the first waiting step in placement order.
void LogWait(const StepPlacement& placement, std::size_t schedulable_count,
             SchedulerTables& tables, SchedulerTick& tick) {
  const bool fills = placement.step().fills();
  Instant& next_line = tables.next_wait_log_[fills];
  if (tick.now() < next_line) return;
  next_line = tick.now() + kWaitLogInterval;
  const WaitCauses& causes = placement.causes_;
  LogLine(tick, "tasks-wait", placement.key_.job(),
          {Field("step", placement.key_.step()), Field("fills", fills ? 1 : 0),
           Field("cpu", placement.step().cpu()),
           Field("memory_mb", placement.step().memory_mb()),
           Field("steps_ready", tables.tasks_.ready().size()),
           Field("open_workers", schedulable_count),
           Field("no_room", causes.no_capacity_),
           Field("neighbours", causes.interference_),
           Field("resting", causes.quarantined_),
           Field("unsuited", causes.unsuitable_)});
}

// Places the ready tasks of a step. Returns true if all of them found a worker.
bool PlaceStep(const StepKey& key, PlacementPass& pass, SchedulerTables& tables,
               SchedulerTick& tick) {
  const JobRow* job = tables.jobs_.Find(key.job());
  StepPlacement placement;
  placement.key_ = key;
  placement.record_ = job->record();
  placement.service_ = job->queue()->service();
  placement.candidates_ =
      FindCandidates(key, placement.step(), placement.service_, tables, pass,
                     placement.causes_);
  const bool half_free = IsHalfFree(placement.service_, pass);
  const auto ready = tables.tasks_.ready().find(key);
  const std::vector<TaskKey> tasks = TasksOf(key, ready->second);
  const bool placed =
      placement.step().gang()
          ? PlaceGang(tasks, half_free, pass, placement, tables, tick)
          : PlaceTasks(tasks, half_free, pass, placement, tables, tick);
  if (!placed && pass.starts_left_ > 0) {
    LogWait(placement, pass.workers_.size(), tables, tick);
    LogIdleJob(key, placement.causes_, pass, tables, tick);
  }
  return placed;
}

// Lets the rest of the pass follow in the next tick.
void ContinuePlacement(SchedulerTables& tables, SchedulerTick& tick) {
  tables.starts_limited_ = true;
  tables.placement_due_ = true;
  tables.earliest_placement_ = tick.now();
  tick.WakeAt(tick.now());
}

}  // namespace

bool IsUnmeetable(const JobRow& job, Instant now) {
  const Duration allowed = job.due() - job.accepted_at();
  return now - job.accepted_at() > kUnmeetableDeadlineFactor * allowed;
}

void StartIsolatedRun(const TaskKey& key, const IsolatedRun& run,
                      SchedulerTables& tables, SchedulerTick& tick) {
  const std::string checkpoint = tables.tasks_.Find(key)->checkpoint();
  Assign(key, run.worker(), run.run(), checkpoint, tables, tick.now());
  SendAssigned(key, tables, tick);
}

void PlaceRuns(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  if (tables.tasks_.ready().empty()) {
    EndIdleSpells(tables, tick.now());
    tables.starts_limited_ = false;
    return;
  }
  if (!MayAct(tables, tick.now())) return;
  const Instant next = tables.placement_due_ ? tables.earliest_placement_
                                             : tables.next_placement_;
  if (tick.now() < next) return tick.WakeAt(next);
  tables.placement_due_ = false;
  tables.starts_limited_ = false;
  tables.next_placement_ = tick.now() + kPlacementInterval;
  PlacementPass pass =
      BeginPass(tables, tick.now(), IsolatedWorkers(tables, tick.now()));
  UpdateIdleJobs(pass, tables, tick.now());
  bool placed_all = true;
  for (const ReadyStep& step : RankReadySteps(tables, tick.now())) {
    placed_all = PlaceStep(step.key_, pass, tables, tick) && placed_all;
    if (pass.starts_left_ <= 0) return ContinuePlacement(tables, tick);
  }
  // While ready tasks are left without a worker, passes are long and changes
  // are frequent.
  tables.earliest_placement_ =
      placed_all ? tick.now() : tick.now() + kPlacementBatchDelay;
  if (!tables.tasks_.ready().empty()) tick.WakeAt(tables.next_placement_);
}

void EvictFromDrainingWorkers(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  for (const auto& [name, worker] : tables.workers_) {
    if (!worker.facts() || !worker.facts()->draining()) continue;
    const std::set<TaskKey> tasks = tables.tasks_.TasksOnWorker(name);
    for (const TaskKey& key : tasks) {
      const JobTask* task = tables.tasks_.Find(key);
      if (!task->step()->long_running()) continue;
      StopTask(key, Reason::kDrain, tables, tick);
    }
  }
}

}  // namespace quetzalline
