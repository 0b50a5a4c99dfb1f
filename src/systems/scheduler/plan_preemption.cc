#include "systems/scheduler/plan_preemption.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "systems/scheduler/choose_worker.h"

namespace quetzalline {
namespace {

// A worker as the planned stops and starts leave it.
struct PlannedWorker {
  MemberName name_;
  WorkerUse use_;
  // Movable tasks that are not to be stopped, in the order of rising CPU.
  std::vector<TaskKey> movable_;
  // Number of tasks of the step that are to start.
  std::int32_t added_ = 0;
};

// Tasks to stop on a worker, and the CPU that they have reserved.
struct PlannedStops {
  std::vector<TaskKey> tasks_;
  std::int64_t cpu_ = 0;
};

const JobStep& StepOfTask(const TaskKey& key, const SchedulerTables& tables) {
  return *tables.tasks_.Find(key)->step();
}

// Returns the tasks to stop so that one more task of the step fits on the
// worker, which may be none, or nothing if it does not fit anyway.
std::optional<PlannedStops> MakeRoom(const JobStep& step,
                                     const PlannedWorker& worker,
                                     const SchedulerTables& tables) {
  const WorkerDescription& facts = *tables.workers_.Find(worker.name_)->facts();
  const PlacementPolicy& policy = tables.policy_.placement();
  WorkerUse use = worker.use_;
  std::vector<TaskKey> stopped;
  while (!Fits(step, facts, use, policy)) {
    if (stopped.size() == worker.movable_.size()) return std::nullopt;
    const TaskKey& next = worker.movable_[stopped.size()];
    use = WithoutTask(use, StepOfTask(next, tables));
    stopped.push_back(next);
  }
  // A larger task may make smaller ones before it unnecessary.
  PlannedStops stops;
  for (const TaskKey& task : stopped) {
    const JobStep& needs = StepOfTask(task, tables);
    const WorkerUse kept = WithTask(use, needs);
    if (Fits(step, facts, kept, policy)) {
      use = kept;
    } else {
      stops.tasks_.push_back(task);
      stops.cpu_ += needs.cpu();
    }
  }
  return stops;
}

// Returns the workers that match the step's service and label.
std::vector<PlannedWorker> SuitableWorkers(const JobStep& step,
                                           const ServiceName& service,
                                           const MovableTasks& movable,
                                           const SchedulerTables& tables) {
  std::vector<PlannedWorker> workers;
  for (const auto& [name, tasks] : movable) {
    const WorkerDescription& facts = *tables.workers_.Find(name)->facts();
    if (!IsSuitable(step, service, facts)) continue;
    workers.push_back({name, tables.tasks_.UseOf(name), tasks, 0});
  }
  return workers;
}

// Adds one task of the step where that stops the least CPU, and moves the tasks
// to stop from its worker to `stopped`. Returns false if it fits nowhere.
bool PlanTask(const StepKey& key, const JobStep& step,
              const SchedulerTables& tables,
              std::vector<PlannedWorker>& workers,
              std::vector<TaskKey>& stopped) {
  PlannedWorker* best = nullptr;
  PlannedStops least;
  for (PlannedWorker& worker : workers) {
    if (!AllowsTask(key, step, worker.name_, worker.added_, tables)) continue;
    auto stops = MakeRoom(step, worker, tables);
    if (!stops || (best != nullptr && stops->cpu_ >= least.cpu_)) continue;
    best = &worker;
    least = std::move(*stops);
  }
  if (best == nullptr) return false;
  for (const TaskKey& task : least.tasks_) {
    best->use_ = WithoutTask(best->use_, StepOfTask(task, tables));
    std::erase(best->movable_, task);
    stopped.push_back(task);
  }
  best->use_ = WithTask(best->use_, step);
  ++best->added_;
  return true;
}

}  // namespace

std::vector<TaskKey> PlanPreemption(const StepKey& key,
                                    const MovableTasks& movable,
                                    const SchedulerTables& tables) {
  const JobRow* job = tables.jobs_.Find(key.job());
  if (job == nullptr) return {};
  const Shared<JobRecord> record = job->record();
  const JobStep& step =
      record->definition()->steps()[static_cast<std::size_t>(key.step())];
  const std::int32_t needed = step.gang() ? step.count() : 1;
  const std::size_t ready = tables.tasks_.ready().at(key).size();
  if (ready < static_cast<std::size_t>(needed)) return {};
  std::vector<PlannedWorker> workers =
      SuitableWorkers(step, job->queue()->service(), movable, tables);
  std::vector<TaskKey> stopped;
  for (std::int32_t i = 0; i < needed; ++i) {
    if (!PlanTask(key, step, tables, workers, stopped)) return {};
  }
  return stopped;
}

}  // namespace quetzalline
