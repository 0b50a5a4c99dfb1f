#include "systems/scheduler/reclaim_capacity.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/place_runs.h"
#include "systems/scheduler/plan_preemption.h"

namespace quetzalline {
namespace {

// Urgent work that has waited this long preempts a long-running task.
constexpr Duration kMaxUrgentWait = std::chrono::milliseconds(250);
// Long-running tasks are preempted for one task or gang at a time, at this
// interval, so that their capacity is in use before the next are stopped.
constexpr Duration kPreemptionInterval = std::chrono::milliseconds(700);
// Interval of searches that found nothing to preempt.
constexpr Duration kPreemptionSearchInterval = std::chrono::milliseconds(100);
// Best-effort tasks must have waited this long before a worker is cleared for
// them.
constexpr Duration kMaxBestEffortWait = std::chrono::milliseconds(600);
constexpr Duration kConsolidationInterval = std::chrono::milliseconds(1500);
// A worker is cleared only while services reserve at most this share of its
// CPU.
constexpr std::int64_t kMaxClearablePercent = 45;
// For this long, services are placed on a cleared worker only if there is no
// other: about the run time of a few best-effort tasks.
constexpr Duration kClearedDuration = std::chrono::milliseconds(10000);
// A task is not moved again for this long after its placement.
constexpr Duration kMinTimeBetweenMoves = std::chrono::milliseconds(5000);

// Returns the first of a step's ready tasks.
TaskKey FirstOf(const StepKey& key, const std::set<std::int32_t>& indexes) {
  return TaskKey::Builder()
      .job(key.job())
      .occurrence(key.occurrence())
      .step(key.step())
      .index(*indexes.begin())
      .Build();
}

// Returns the longest wait of a ready best-effort task.
Duration LongestBestEffortWait(const SchedulerTables& tables, Instant now) {
  Duration longest{};
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const JobTask* task = tables.tasks_.Find(FirstOf(key, indexes));
    if (!task->step()->fills()) continue;
    longest = std::max(longest, now - task->ready_since());
  }
  return longest;
}

// Returns true if the task may be stopped and started elsewhere. Steps that
// limit how many of their tasks may be missing are not moved.
bool IsMovable(const JobTask& task, Instant now) {
  return task.step()->long_running() && task.step()->may_miss() == 0 &&
         !task.stopping() && now - task.assigned_at() >= kMinTimeBetweenMoves;
}

// Returns the movable tasks of the workers on which urgent work can start.
// Those in quarantine are left out.
MovableTasks FindMovableTasks(const SchedulerTables& tables, Instant now) {
  MovableTasks movable;
  for (const MemberName& name : SchedulableWorkers(tables, now)) {
    if (tables.workers_.Find(name)->rests_until() > now) continue;
    std::vector<TaskKey>& tasks = movable[name];
    for (const TaskKey& key : tables.tasks_.TasksOnWorker(name)) {
      if (IsMovable(*tables.tasks_.Find(key), now)) tasks.push_back(key);
    }
    std::stable_sort(tasks.begin(), tasks.end(),
                     [&](const TaskKey& left, const TaskKey& right) {
                       return tables.tasks_.Find(left)->step()->cpu() <
                              tables.tasks_.Find(right)->step()->cpu();
                     });
  }
  return movable;
}

// Returns the steps with urgent tasks that have waited too long, in the order
// of the time since which they wait. Tasks of unmeetable jobs are placed after
// long-running ones, which would take any room that is made for them.
std::vector<std::pair<Instant, StepKey>> LateUrgentSteps(
    const SchedulerTables& tables, Instant now) {
  std::vector<std::pair<Instant, StepKey>> late;
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const JobTask& task = *tables.tasks_.Find(FirstOf(key, indexes));
    if (task.step()->long_running() || task.step()->fills()) continue;
    if (now - task.ready_since() < kMaxUrgentWait) continue;
    const JobRow* job = tables.jobs_.Find(key.job());
    if (job == nullptr || IsUnmeetable(*job, now)) continue;
    late.emplace_back(task.ready_since(), key);
  }
  std::sort(late.begin(), late.end());
  return late;
}

// Capacity on other workers that is planned for the tasks of one worker.
using PlannedUse = std::map<MemberName, WorkerUse>;

// Reserves planned capacity for the task on another worker that runs services.
// Returns false if no such worker can take it.
bool PlanMove(const TaskKey& key, const MemberName& from,
              const std::vector<MemberName>& schedulable,
              const SchedulerTables& tables, PlannedUse& planned) {
  const JobTask& task = *tables.tasks_.Find(key);
  const JobStep& step = *task.step();
  for (const MemberName& name : schedulable) {
    if (name == from) continue;
    const WorkerDescription& facts = *tables.workers_.Find(name)->facts();
    const WorkerUse& use = tables.tasks_.UseOf(name);
    if (use.serving_cpu() == 0) continue;
    WorkerUse& extra = planned[name];
    const bool fits = use.cpu() + extra.cpu() + step.cpu() <= facts.cpu() &&
                      use.memory_mb() + extra.memory_mb() + step.memory_mb() <=
                          facts.memory_mb();
    if (!fits) continue;
    if (!AllowsTask(StepOf(key), step, name, 0, tables)) continue;
    extra = WorkerUse::Builder(extra)
                .cpu(extra.cpu() + step.cpu())
                .memory_mb(extra.memory_mb() + step.memory_mb())
                .Build();
    return true;
  }
  return false;
}

// Returns the services of the worker if all of them can be moved, otherwise
// nothing.
std::vector<TaskKey> ClearableTasks(const MemberName& from,
                                    const std::vector<MemberName>& schedulable,
                                    const SchedulerTables& tables,
                                    Instant now) {
  std::vector<TaskKey> moved;
  PlannedUse planned;
  for (const TaskKey& key : tables.tasks_.TasksOnWorker(from)) {
    const JobTask& task = *tables.tasks_.Find(key);
    if (task.step()->target() == Duration()) continue;
    if (!IsMovable(task, now)) return {};
    if (!PlanMove(key, from, schedulable, tables, planned)) return {};
    moved.push_back(key);
  }
  return moved;
}

}  // namespace

void PreemptLongRunning(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tick.now() < tables.next_preemption_) return;
  const auto late = LateUrgentSteps(tables, tick.now());
  if (late.empty()) return;
  tables.next_preemption_ = tick.now() + kPreemptionSearchInterval;
  const MovableTasks movable = FindMovableTasks(tables, tick.now());
  for (const auto& [since, key] : late) {
    const std::vector<TaskKey> stopped = PlanPreemption(key, movable, tables);
    if (stopped.empty()) continue;
    tables.next_preemption_ = tick.now() + kPreemptionInterval;
    for (const TaskKey& task : stopped) {
      LogLine(tick, "long-running-preempted", task.job(),
              {FieldMs("urgent_waited_ms", tick.now() - since)});
      StopTask(task, Reason::kQueueFull, tables, tick);
    }
    return;
  }
}

void ConsolidateServices(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tick.now() < tables.next_consolidation_) return;
  const Duration waited = LongestBestEffortWait(tables, tick.now());
  if (waited < kMaxBestEffortWait) return;
  tables.next_consolidation_ = tick.now() + kConsolidationInterval;
  const auto schedulable = SchedulableWorkers(tables, tick.now());
  std::optional<MemberName> best;
  std::vector<TaskKey> moved;
  std::int64_t least = 0;
  for (const MemberName& name : schedulable) {
    const WorkerUse& use = tables.tasks_.UseOf(name);
    const std::int64_t capacity = tables.workers_.Find(name)->facts()->cpu();
    if (use.serving_cpu() == 0) continue;
    if (use.serving_cpu() * 100 > capacity * kMaxClearablePercent) continue;
    if (best && use.serving_cpu() >= least) continue;
    std::vector<TaskKey> tasks =
        ClearableTasks(name, schedulable, tables, tick.now());
    if (tasks.empty()) continue;
    best = name;
    moved = std::move(tasks);
    least = use.serving_cpu();
  }
  if (!best) return;
  LogLine(tick, "worker-cleared", 0,
          {Field("worker", best->value()), Field("tasks", moved.size()),
           FieldMs("fills_waited_ms", waited)});
  tables.workers_.Put(*best, WorkerRow::Builder(*tables.workers_.Find(*best))
                                 .clear_until(tick.now() + kClearedDuration)
                                 .Build());
  for (const TaskKey& key : moved) {
    StopTask(key, Reason::kLatency, tables, tick);
  }
}

}  // namespace quetzalline
