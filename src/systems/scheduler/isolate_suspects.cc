#include "systems/scheduler/isolate_suspects.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/place_runs.h"
#include "systems/scheduler/run_numbers.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Nothing else starts on a worker for this long before and after an isolated
// run starts there. Longer than the age of a prime suspect by the difference of
// the delays of two commands.
constexpr Duration kIsolationTime = std::chrono::milliseconds(120);
// While the store does not answer, a worker is reserved for this long only.
constexpr Duration kReservationTime = std::chrono::milliseconds(300);
// Interval of ticks while suspects wait.
constexpr Duration kCheckInterval = std::chrono::milliseconds(30);
// A suspect that has waited this long may start beside tasks that it disturbs.
constexpr Duration kMaxWait = std::chrono::milliseconds(1200);
// Costs of a worker in tasks that a crash would end: one that serves, and that
// of the last crash, which may be at fault itself.
constexpr std::int64_t kServingCost = 1000;
constexpr std::int64_t kCrashedCost = 10'000;

const JobStep& StepOfRow(const TaskKey& key, const JobRow& job) {
  return job.record()
      ->definition()
      ->steps()[static_cast<std::size_t>(key.step())];
}

void SetStage(const TaskKey& key, TaskStage stage, SchedulerTables& tables) {
  const JobTask task = *tables.tasks_.Find(key);
  if (task.stage() == stage) return;
  tables.tasks_.Put(key, JobTask::Builder(task).stage(stage).Build());
  if (stage == TaskStage::kReady) tables.placement_due_ = true;
}

void EraseFinished(SchedulerTables& tables) {
  std::vector<TaskKey> finished;
  for (const auto& [key, row] : tables.suspects_) {
    const JobTask* task = tables.tasks_.Find(key);
    const JobRow* job = tables.jobs_.Find(key.job());
    const bool gone = task == nullptr || task->stage() == TaskStage::kDone;
    if (gone || job == nullptr || IsFinalState(job->state())) {
      finished.push_back(key);
    }
  }
  for (const TaskKey& key : finished) tables.suspects_.Erase(key);
}

// Keeps suspects from being placed like other tasks. A gang cannot start one
// member at a time, so its members wait for the store and the delay only.
void QuarantineSuspects(SchedulerTables& tables, Instant now) {
  for (const auto& [key, row] : tables.suspects_) {
    const JobTask& task = *tables.tasks_.Find(key);
    const bool waits = task.stage() == TaskStage::kReady ||
                       task.stage() == TaskStage::kQuarantined;
    if (!waits || !row.suspect()) continue;
    const bool released =
        task.step()->gang() && row.stored() && now >= row.not_before();
    SetStage(key, released ? TaskStage::kReady : TaskStage::kQuarantined,
             tables);
  }
}

// Returns the time from which nothing has just been started on the worker.
Instant QuietFrom(const MemberName& worker, const SchedulerTables& tables) {
  Instant quiet;
  for (const TaskKey& key : tables.tasks_.TasksOnWorker(worker)) {
    quiet = std::max(quiet, tables.tasks_.Find(key)->assigned_at());
  }
  return quiet + kIsolationTime;
}

// Returns true if the planned place of the run is as it was and has the room.
bool IsPlaceOpen(const TaskKey& key, const IsolatedRun& run,
                 const SchedulerTables& tables, PlacementPass& pass) {
  const std::optional<std::size_t> position = FindWorker(run.worker(), pass);
  if (!position) return false;
  const WorkerDescription& facts = *pass.workers_[*position].row_->facts();
  const JobRow& job = *tables.jobs_.Find(key.job());
  WaitCauses causes;
  return facts.born_ms() == run.born_ms() &&
         EvaluateWorker(StepOf(key), StepOfRow(key, job),
                        job.queue()->service(), *position, tables, pass, causes)
             .has_value();
}

// Starts the planned run, or drops the plan if its place has changed.
void StartPlanned(const TaskKey& key, const SuspectRow& row,
                  PlacementPass& pass, SchedulerTables& tables,
                  SchedulerTick& tick) {
  const IsolatedRun run = *row.isolated();
  if (!IsPlaceOpen(key, run, tables, pass)) {
    tables.suspects_.Put(key, SuspectRow::Builder(row)
                                  .started_at(tick.now() - kIsolationTime)
                                  .Build());
    return;
  }
  if (!row.stored()) return;
  const Instant quiet_from = QuietFrom(run.worker(), tables);
  if (tick.now() < quiet_from) return tick.WakeAt(quiet_from);
  LogLine(tick, "run-isolated", key.job(),
          {Field("step", key.step()), Field("index", key.index()),
           Field("run", run.run()), Field("worker", run.worker().value()),
           Field("crashes", row.crashed_runs().size()),
           FieldMs("wait_ms",
                   tick.now() - tables.tasks_.Find(key)->ready_since())});
  tables.suspects_.Put(key,
                       SuspectRow::Builder(row).started_at(tick.now()).Build());
  StartIsolatedRun(key, run, tables, tick);
  RefreshWorker(*FindWorker(run.worker(), pass), tables, pass);
}

// A worker counts as occupied by the isolated run until its isolation is over.
bool IsOpen(const TaskKey& key, const SuspectRow& row,
            const SchedulerTables& tables, Instant now) {
  if (!row.isolated()) return false;
  const JobTask& task = *tables.tasks_.Find(key);
  if (row.planned()) return task.stage() == TaskStage::kQuarantined;
  return task.stage() == TaskStage::kAssigned &&
         task.run() == row.isolated()->run() &&
         now < *row.started_at() + kIsolationTime;
}

// Returns true if the task's isolated run has neither ended nor been cleared.
bool IsOnTrial(const TaskKey& key, const SuspectRow& row,
               const SchedulerTables& tables) {
  const TaskStage stage = tables.tasks_.Find(key)->stage();
  return (row.planned() && stage == TaskStage::kQuarantined) ||
         (row.isolated() && stage == TaskStage::kAssigned);
}

// Returns the worker on which a crash would do the least harm.
std::optional<MemberName> ChooseIsolated(const TaskKey& key,
                                         const SuspectRow& row,
                                         const std::set<MemberName>& plannable,
                                         const SchedulerTables& tables,
                                         PlacementPass& pass, Instant now) {
  const JobRow& job = *tables.jobs_.Find(key.job());
  WaitCauses causes;
  std::optional<MemberName> best;
  std::int64_t least = 0;
  const bool overdue = now - tables.tasks_.Find(key)->ready_since() > kMaxWait;
  for (const WorkerCandidate& candidate :
       FindCandidates(StepOf(key), StepOfRow(key, job), job.queue()->service(),
                      tables, pass, causes)) {
    const MemberName& name = pass.workers_[candidate.worker_].name_;
    if (plannable.count(name) == 0) continue;
    if ((candidate.interferes_ || candidate.quarantined_) && !overdue) continue;
    std::int64_t cost =
        static_cast<std::int64_t>(tables.tasks_.TasksOnWorker(name).size());
    if (tables.tasks_.UseOf(name).serving_cpu() > 0) cost += kServingCost;
    if (row.crashed_runs().back().worker() == name) cost += kCrashedCost;
    if (best && cost >= least) continue;
    best = name;
    least = cost;
  }
  return best;
}

// Reserves a worker for the next run of the suspect. The plan is stored with
// the evidence.
void Plan(const TaskKey& key, const SuspectRow& row, const MemberName& worker,
          SchedulerTables& tables, Instant now) {
  const std::int64_t last =
      std::max({tables.tasks_.Find(key)->run(), LastEarlierRun(tables.term_),
                row.isolated() ? row.isolated()->run() : 0});
  const IsolatedRun run =
      IsolatedRun::Builder()
          .run(last + 1)
          .worker(worker)
          .agent(tables.members_.Find(worker)->record().incarnation())
          .born_ms(tables.workers_.Find(worker)->facts()->born_ms())
          .Build();
  tables.suspects_.Put(key, SuspectRow::Builder(row)
                                .isolated(run)
                                .started_at(std::nullopt)
                                .planned_at(now)
                                .stored(false)
                                .Build());
  tables.dirty_jobs_.Add(key.job(), DirtyKind::kAwaited, now);
}

// Isolated runs that are open, which limit the further ones.
struct OpenRuns {
  // Workers that are isolated, by service, and those of them that are reserved
  // for a run that has not started.
  std::map<ServiceName, std::set<MemberName>> workers_;
  std::set<MemberName> reserved_;
  std::set<std::uint64_t> jobs_;
};

OpenRuns FindOpen(const SchedulerTables& tables, Instant now) {
  OpenRuns open;
  for (const auto& [key, row] : tables.suspects_) {
    if (IsOnTrial(key, row, tables)) open.jobs_.insert(key.job());
    if (!IsOpen(key, row, tables, now)) continue;
    const MemberName& worker = row.isolated()->worker();
    open.workers_[tables.jobs_.Find(key.job())->queue()->service()].insert(
        worker);
    if (row.planned()) open.reserved_.insert(worker);
  }
  return open;
}

// Returns the suspects that wait for a plan: those with few crashes first, then
// those that have waited longest.
std::vector<TaskKey> RankWaiting(const SchedulerTables& tables, Instant now) {
  std::vector<std::tuple<std::size_t, Instant, TaskKey>> ranked;
  for (const auto& [key, row] : tables.suspects_) {
    const JobTask& task = *tables.tasks_.Find(key);
    if (task.stage() != TaskStage::kQuarantined || row.planned()) continue;
    if (task.step()->gang() || now < row.not_before()) continue;
    ranked.emplace_back(row.crashed_runs().size(), task.ready_since(), key);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<TaskKey> keys;
  for (const auto& [crashes, since, key] : ranked) keys.push_back(key);
  return keys;
}

// Returns the workers on which a run of the service may be planned. At most
// half of the workers of a service are isolated at a time.
std::set<MemberName> PlannableWorkers(const ServiceName& service,
                                      const OpenRuns& open,
                                      const PlacementPass& pass) {
  static const std::set<MemberName> kNone;
  const auto found = open.workers_.find(service);
  const std::set<MemberName>& isolated =
      found == open.workers_.end() ? kNone : found->second;
  std::set<MemberName> plannable;
  std::size_t workers = 0;
  for (const PassWorker& worker : pass.workers_) {
    if (worker.row_->facts()->service() != service) continue;
    ++workers;
    if (open.reserved_.count(worker.name_) == 0) plannable.insert(worker.name_);
  }
  if (isolated.empty() || 2 * (isolated.size() + 1) <= workers) {
    return plannable;
  }
  std::erase_if(plannable, [&](const MemberName& name) {
    return isolated.count(name) == 0;
  });
  return plannable;
}

// Plans isolated runs of those that wait, one of a job at a time, since a task
// that is at fault ends its whole job.
void PlanWaiting(PlacementPass& pass, SchedulerTables& tables, Instant now) {
  OpenRuns open = FindOpen(tables, now);
  for (const TaskKey& key : RankWaiting(tables, now)) {
    if (open.jobs_.count(key.job()) > 0) continue;
    const ServiceName service =
        tables.jobs_.Find(key.job())->queue()->service();
    const SuspectRow row = *tables.suspects_.Find(key);
    const auto worker = ChooseIsolated(
        key, row, PlannableWorkers(service, open, pass), tables, pass, now);
    if (!worker) continue;
    Plan(key, row, *worker, tables, now);
    open.jobs_.insert(key.job());
    open.workers_[service].insert(*worker);
    open.reserved_.insert(*worker);
  }
}

}  // namespace

std::set<MemberName> IsolatedWorkers(const SchedulerTables& tables,
                                     Instant now) {
  std::set<MemberName> isolated;
  for (const auto& [key, row] : tables.suspects_) {
    if (tables.tasks_.Find(key) == nullptr || !row.isolated()) continue;
    const bool expired = row.planned() && !row.stored() &&
                         now - row.planned_at() > kReservationTime;
    if (!expired && IsOpen(key, row, tables, now)) {
      isolated.insert(row.isolated()->worker());
    }
  }
  return isolated;
}

void IsolateSuspects(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tables.suspects_.empty()) return;
  EraseFinished(tables);
  QuarantineSuspects(tables, tick.now());
  if (tables.suspects_.empty()) return;
  tick.WakeAt(tick.now() + kCheckInterval);
  tables.placement_due_ = true;
  if (!MayAct(tables, tick.now())) return;
  PlacementPass pass = BeginPass(tables, tick.now(), {});
  const auto suspects = tables.suspects_.Sorted();
  for (const auto& [key, row] : suspects) {
    const TaskStage stage = tables.tasks_.Find(key)->stage();
    if (!row.planned() || stage != TaskStage::kQuarantined) continue;
    StartPlanned(key, row, pass, tables, tick);
  }
  PlanWaiting(pass, tables, tick.now());
}

}  // namespace quetzalline
