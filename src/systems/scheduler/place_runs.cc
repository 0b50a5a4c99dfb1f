#include "systems/scheduler/place_runs.h"

#include <algorithm>
#include <tuple>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/conclude_job.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/open_job.h"
#include "systems/scheduler/send_start.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

// Numbers of runs that one holder may use for a task, so that a later holder
// never uses one that an earlier holder used.
constexpr std::int64_t kRunsInEpoch = 1000;
// A job that took this many times what it may take earns nothing any more.
constexpr int kHopelessFactor = 3;
// Placement is repeated at this interval while work waits.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(200);

// While work is left over, changes are gathered for this long before it is
// tried again: a twentieth of the shortest objective.
constexpr Duration kCrowdedPause = std::chrono::milliseconds(30);
constexpr Duration kWaitLineInterval = std::chrono::seconds(1);

// Lower comes first.
enum class Urgency : std::uint8_t { kUrgent, kServing, kFilling, kHopeless };

struct ReadyStep {
  Urgency urgency_;
  std::int32_t priority_;
  Instant due_;
  StepKey key_;

  friend auto operator<=>(const ReadyStep&, const ReadyStep&) = default;
};

const JobStep& StepAt(const JobRow& job, std::int32_t step) {
  return job.record()->definition()->steps()[static_cast<std::size_t>(step)];
}

ReadyStep Rank(const StepKey& key, const JobRow& job, Instant now) {
  const JobStep& step = StepAt(job, key.step());
  const Duration allowed = job.due() - job.accepted_at();
  const bool hopeless = now - job.accepted_at() > kHopelessFactor * allowed;
  Urgency urgency = step.fills() ? Urgency::kFilling : Urgency::kUrgent;
  if (hopeless) urgency = Urgency::kHopeless;
  if (step.long_running()) urgency = Urgency::kServing;
  return ReadyStep{urgency, job.queue()->priority(), job.due(), key};
}

std::vector<ReadyStep> RankReadySteps(const SchedulerTables& tables,
                                      Instant now) {
  std::vector<ReadyStep> ranked;
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const JobRow* job = tables.jobs_.Find(key.job());
    if (job == nullptr) continue;
    ranked.push_back(Rank(key, *job, now));
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

void MarkBegun(std::uint64_t job, SchedulerTables& tables,
               SchedulerTick& tick) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row->began()) return;
  LogLine(tick, "job-began", job,
          {FieldMs("wait_ms", tick.now() - row->accepted_at())});
  tables.jobs_.Put(
      job, JobRow::Builder(*row).began(true).state(JobState::kRunning).Build());
}

// Gives the task to the worker; nothing is sent yet.
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

// The number of the task's next run: above all that any holder has used.
std::int64_t NextRun(const JobTask& task, const SchedulerTables& tables) {
  const std::int64_t floor = (tables.term_.epoch() - 1) * kRunsInEpoch;
  return std::max(task.run(), floor) + 1;
}

// Sends the order for a task that was assigned.
void Order(const TaskKey& key, SchedulerTables& tables, SchedulerTick& tick) {
  const JobTask started = *tables.tasks_.Find(key);
  const MemberName& worker = started.worker();
  tick.counters().Add(Counter::kTasksAssigned);
  MarkBegun(key.job(), tables, tick);
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

// One step while its ready tasks are placed.
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

// The worker that took a task may have room for another one.
void ConsiderAgain(std::size_t position, const SchedulerTables& tables,
                   StepPlacement& placement) {
  auto& candidates = placement.candidates_;
  const auto at = candidates.begin() + static_cast<std::ptrdiff_t>(position);
  // Each worker counts once.
  if (at->disturbs_) --placement.causes_.neighbours_;
  const auto again =
      ConsiderWorker(placement.key_, placement.step(), placement.service_,
                     at->worker_, tables, placement.causes_);
  if (again) {
    *at = *again;
  } else {
    candidates.erase(at);
  }
}

// The tasks of a gang start together, as one run, or not at all. Returns
// whether they did.
bool PlaceGang(const std::vector<TaskKey>& tasks, StepPlacement& placement,
               SchedulerTables& tables, SchedulerTick& tick) {
  const JobStep& step = placement.step();
  if (tasks.size() != static_cast<std::size_t>(step.count())) return true;
  std::int64_t run = 0;
  std::string checkpoint;
  std::vector<JobTask> before;
  for (const TaskKey& task : tasks) {
    before.push_back(*tables.tasks_.Find(task));
    if (before.back().run() >= run && !before.back().checkpoint().empty()) {
      checkpoint = before.back().checkpoint();
    }
    run = std::max(run, NextRun(before.back(), tables));
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const auto best = BestCandidate(placement.candidates_, false, MemberName());
    if (!best) {
      for (std::size_t k = 0; k < i; ++k) {
        tables.tasks_.Put(tasks[k], before[k]);
      }
      return false;
    }
    Assign(tasks[i], placement.candidates_[*best].worker_, run, checkpoint,
           tables, tick.now());
    ConsiderAgain(*best, tables, placement);
  }
  for (const TaskKey& task : tasks) Order(task, tables, tick);
  return true;
}

// Places the tasks one by one. Returns whether all of them found a worker.
bool PlaceTasks(const std::vector<TaskKey>& tasks, bool half_free,
                StepPlacement& placement, SchedulerTables& tables,
                SchedulerTick& tick) {
  bool placed_all = true;
  for (const TaskKey& task : tasks) {
    const JobTask& row = *tables.tasks_.Find(task);
    const bool overdue =
        half_free && tick.now() - row.ready_since() >
                         tables.policy_.placement().longest_wait();
    if (!placed_all && !overdue) continue;
    const MemberName failed_on =
        row.failed_runs().empty() ? MemberName() : row.worker();
    const auto best = BestCandidate(placement.candidates_, overdue, failed_on);
    if (!best) {
      placed_all = false;
      if (placement.candidates_.empty()) return false;
      continue;
    }
    Assign(task, placement.candidates_[*best].worker_, NextRun(row, tables),
           row.checkpoint(), tables, tick.now());
    Order(task, tables, tick);
    ConsiderAgain(*best, tables, placement);
  }
  return placed_all;
}

// Says now and then why work waits: of the work that fills and of the other,
// what is next.
void LogWait(const StepPlacement& placement, std::size_t open,
             SchedulerTables& tables, SchedulerTick& tick) {
  const bool fills = placement.step().fills();
  Instant& next_line = tables.next_wait_log_[fills];
  if (tick.now() < next_line) return;
  next_line = tick.now() + kWaitLineInterval;
  const WaitCauses& causes = placement.causes_;
  LogLine(
      tick, "tasks-wait", placement.key_.job(),
      {Field("step", placement.key_.step()), Field("fills", fills ? 1 : 0),
       Field("cpu", placement.step().cpu()),
       Field("memory_mb", placement.step().memory_mb()),
       Field("steps_ready", tables.tasks_.ready().size()),
       Field("open_workers", open), Field("no_room", causes.no_room_),
       Field("neighbours", causes.neighbours_),
       Field("resting", causes.resting_), Field("unsuited", causes.unsuited_)});
}

// Returns whether all ready tasks of the step found a worker.
bool PlaceStep(const StepKey& key, bool half_free,
               const std::vector<MemberName>& open, SchedulerTables& tables,
               SchedulerTick& tick) {
  const JobRow* job = tables.jobs_.Find(key.job());
  StepPlacement placement;
  placement.key_ = key;
  placement.record_ = job->record();
  placement.service_ = job->queue()->service();
  placement.candidates_ =
      FindCandidates(key, placement.step(), placement.service_, open, tables,
                     placement.causes_);
  const auto ready = tables.tasks_.ready().find(key);
  const std::vector<TaskKey> tasks = TasksOf(key, ready->second);
  const bool placed =
      placement.step().gang()
          ? PlaceGang(tasks, placement, tables, tick)
          : PlaceTasks(tasks, half_free, placement, tables, tick);
  if (!placed) LogWait(placement, open.size(), tables, tick);
  return placed;
}

}  // namespace

void PlaceRuns(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tables.tasks_.ready().empty()) return;
  if (!MayAct(tables, tick.now())) return;
  const Instant next = tables.placement_due_ ? tables.earliest_placement_
                                             : tables.next_placement_;
  if (tick.now() < next) return tick.WakeAt(next);
  tables.placement_due_ = false;
  tables.next_placement_ = tick.now() + kPlacementInterval;
  const std::vector<MemberName> open = OpenWorkers(tables, tick.now());
  const bool half_free = IsHalfFree(open, tables);
  bool placed_all = true;
  for (const ReadyStep& step : RankReadySteps(tables, tick.now())) {
    placed_all =
        PlaceStep(step.key_, half_free, open, tables, tick) && placed_all;
  }
  // While work is left over, passes are long and changes come often.
  tables.earliest_placement_ =
      placed_all ? tick.now() : tick.now() + kCrowdedPause;
  if (!tables.tasks_.ready().empty()) tick.WakeAt(tables.next_placement_);
}

void LeaveDrainingWorkers(SchedulerTables& tables, SchedulerTick& tick) {
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
