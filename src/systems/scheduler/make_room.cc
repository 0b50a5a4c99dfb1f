#include "systems/scheduler/make_room.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/conclude_job.h"

namespace quetzalline {
namespace {

// Urgent work that has waited this long is worth a lasting task's place.
constexpr Duration kUrgentPatience = std::chrono::milliseconds(250);
// One lasting task is stopped at a time, and the next one after its room has
// come into use.
constexpr Duration kPreemptPause = std::chrono::milliseconds(700);
// Tasks that fill have waited this long before a worker is cleared for them.
constexpr Duration kFillPatience = std::chrono::milliseconds(600);
constexpr Duration kConsolidatePause = std::chrono::milliseconds(1500);
// A worker is cleared while at most this share of it serves.
constexpr std::int64_t kClearablePercent = 45;
// What serves joins a worker that was cleared only where there is no other, for
// as long as a few tasks that fill take.
constexpr Duration kClearTime = std::chrono::milliseconds(10000);
// A task that was placed lately is not moved again.
constexpr Duration kSettledTime = std::chrono::milliseconds(5000);

// How long the task of this kind that has waited longest has waited.
template <typename Kind>
Duration LongestWait(const SchedulerTables& tables, Instant now, Kind&& kind) {
  Duration longest{};
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const TaskKey first = TaskKey::Builder()
                              .job(key.job())
                              .occurrence(key.occurrence())
                              .step(key.step())
                              .index(*indexes.begin())
                              .Build();
    const JobTask* task = tables.tasks_.Find(first);
    if (!kind(*task->step())) continue;
    longest = std::max(longest, now - task->ready_since());
  }
  return longest;
}

// A step that bounds how many of its tasks may be away is left alone.
bool IsMovable(const JobTask& task, Instant now) {
  return task.step()->long_running() && task.step()->may_miss() == 0 &&
         !task.stopping() && now - task.assigned_at() >= kSettledTime;
}

// The smallest lasting task that can be stopped.
std::optional<TaskKey> FindPreemptible(const std::vector<MemberName>& open,
                                       const SchedulerTables& tables,
                                       Instant now) {
  std::optional<TaskKey> best;
  std::int64_t least = 0;
  for (const MemberName& name : open) {
    for (const TaskKey& key : tables.tasks_.OnWorker(name)) {
      const JobTask& task = *tables.tasks_.Find(key);
      if (!IsMovable(task, now)) continue;
      if (best && task.step()->cpu() >= least) continue;
      best = key;
      least = task.step()->cpu();
    }
  }
  return best;
}

// Room that the tasks of one worker would take elsewhere, as planned so far.
using PlannedUse = std::map<MemberName, WorkerUse>;

bool PlanMove(const TaskKey& key, const MemberName& from,
              const std::vector<MemberName>& open,
              const SchedulerTables& tables, PlannedUse& planned) {
  const JobTask& task = *tables.tasks_.Find(key);
  const JobStep& step = *task.step();
  for (const MemberName& name : open) {
    if (name == from) continue;
    const WorkerDescription& facts = *tables.workers_.Find(name)->facts();
    const WorkerUse& use = tables.tasks_.UseOf(name);
    if (use.serving_cpu() == 0) continue;
    WorkerUse& extra = planned[name];
    const bool fits = use.cpu() + extra.cpu() + step.cpu() <= facts.cpu() &&
                      use.memory_mb() + extra.memory_mb() + step.memory_mb() <=
                          facts.memory_mb();
    if (!fits) continue;
    if (step.most_per_worker() > 0 &&
        tables.tasks_.CountOnWorker(StepOf(key), name) >=
            step.most_per_worker()) {
      continue;
    }
    extra = WorkerUse::Builder(extra)
                .cpu(extra.cpu() + step.cpu())
                .memory_mb(extra.memory_mb() + step.memory_mb())
                .Build();
    return true;
  }
  return false;
}

// The tasks that serve on the worker, if every one of them can go elsewhere.
std::vector<TaskKey> ClearableTasks(const MemberName& from,
                                    const std::vector<MemberName>& open,
                                    const SchedulerTables& tables,
                                    Instant now) {
  std::vector<TaskKey> moved;
  PlannedUse planned;
  for (const TaskKey& key : tables.tasks_.OnWorker(from)) {
    const JobTask& task = *tables.tasks_.Find(key);
    if (task.step()->target() == Duration()) continue;
    if (!IsMovable(task, now)) return {};
    if (!PlanMove(key, from, open, tables, planned)) return {};
    moved.push_back(key);
  }
  return moved;
}

}  // namespace

void PreemptLasting(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tick.now() < tables.next_preemption_) return;
  const Duration waited =
      LongestWait(tables, tick.now(), [](const JobStep& step) {
        return !step.long_running() && !step.fills();
      });
  if (waited < kUrgentPatience) return;
  const auto open = OpenWorkers(tables, tick.now());
  const auto victim = FindPreemptible(open, tables, tick.now());
  if (!victim) return;
  tables.next_preemption_ = tick.now() + kPreemptPause;
  LogLine(tick, "lasting-preempted", victim->job(),
          {FieldMs("urgent_waited_ms", waited)});
  StopTask(*victim, Reason::kQueueFull, tables, tick);
}

void ConsolidateServing(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tick.now() < tables.next_consolidation_) return;
  const Duration waited = LongestWait(
      tables, tick.now(), [](const JobStep& step) { return step.fills(); });
  if (waited < kFillPatience) return;
  tables.next_consolidation_ = tick.now() + kConsolidatePause;
  const auto open = OpenWorkers(tables, tick.now());
  std::optional<MemberName> best;
  std::vector<TaskKey> moved;
  std::int64_t least = 0;
  for (const MemberName& name : open) {
    const WorkerUse& use = tables.tasks_.UseOf(name);
    const std::int64_t room = tables.workers_.Find(name)->facts()->cpu();
    if (use.serving_cpu() == 0) continue;
    if (use.serving_cpu() * 100 > room * kClearablePercent) continue;
    if (best && use.serving_cpu() >= least) continue;
    std::vector<TaskKey> tasks = ClearableTasks(name, open, tables, tick.now());
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
                                 .clear_until(tick.now() + kClearTime)
                                 .Build());
  for (const TaskKey& key : moved) {
    StopTask(key, Reason::kLatency, tables, tick);
  }
}

}  // namespace quetzalline
