#include "systems/entry/place_tasks.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "core/resources_arithmetic.h"

namespace quetzalline {
namespace {

constexpr Duration kPlacementInterval = std::chrono::milliseconds(20);
constexpr Duration kDeferral = std::chrono::seconds(1);
constexpr std::size_t kMaxTasksPerPass = 256;
constexpr int kSampledInstances = 8;

struct Candidate {
  EndpointId id_;
  Resources free_;
};

Resources FreeCapacity(const Endpoint& row, const TaskTable& tasks) {
  return Difference(row.announced()->capacity(),
                    tasks.CommittedTo(row.announced()->endpoint()));
}

bool InBackoff(const EndpointId& id, const EntryTables& tables, Instant now) {
  const WorkerHealth* health = tables.worker_health_.Find(id);
  return health != nullptr && health->rested_until() > now;
}

bool HasFailedOn(const Task& task, const EndpointId& id) {
  return std::find(task.failed_on().begin(), task.failed_on().end(), id) !=
         task.failed_on().end();
}

std::optional<Candidate> EvaluateInstance(const EndpointId& id,
                                          const Task& task,
                                          const EntryTables& tables,
                                          Instant now) {
  if (HasFailedOn(task, id) || InBackoff(id, tables, now)) return std::nullopt;
  const Resources free =
      FreeCapacity(*tables.endpoints_.Find(id), tables.tasks_);
  if (!Fits(task.work()->needs(), free)) return std::nullopt;
  return Candidate{id, free};
}

void UpdateBest(const std::optional<Candidate>& candidate,
                std::optional<Candidate>& best) {
  if (!candidate) return;
  if (!best || candidate->free_ > best->free_) best = candidate;
}

// Returns the instance with the most free capacity among a few drawn at random.
// If none of them fits the task, returns the first of all instances that does,
// or nullopt.
std::optional<Candidate> ChooseInstance(const Task& task,
                                        const EntryTables& tables, Instant now,
                                        Random& random) {
  const EndpointTable::Group& active = tables.endpoints_.Active();
  if (active.empty()) return std::nullopt;
  const auto last = static_cast<std::int64_t>(active.size()) - 1;
  std::optional<Candidate> best;
  for (int i = 0; i < kSampledInstances; ++i) {
    const auto index = static_cast<std::size_t>(UniformInt(random, last));
    UpdateBest(EvaluateInstance(active[index], task, tables, now), best);
  }
  if (best) return best;
  for (const EndpointId& id : active) {
    const std::optional<Candidate> candidate =
        EvaluateInstance(id, task, tables, now);
    if (candidate) return candidate;
  }
  return std::nullopt;
}

bool FitsAnyInstance(const Task& task, const EntryTables& tables) {
  for (const auto& [id, row] : tables.endpoints_.rows()) {
    if (Fits(task.work()->needs(), row.announced()->capacity())) return true;
  }
  return false;
}

void DeferTask(const Task& task, EntryTables& tables, Instant now) {
  const Reason reason =
      FitsAnyInstance(task, tables) ? Reason::kNoEndpoint : Reason::kDoesNotFit;
  const auto& waiting = std::get<Waiting>(task.state());
  tables.tasks_.Put(
      Task::Builder(task)
          .last_reason(reason)
          .state(Waiting::Builder(waiting).not_before(now + kDeferral).Build())
          .Build());
}

void AssignTo(const EndpointId& endpoint, const Task& task,
              EntryTables& tables) {
  const std::int32_t number = task.attempts() + 1;
  const auto& waiting = std::get<Waiting>(task.state());
  tables.tasks_.Put(Task::Builder(task)
                        .state(Assigning::Builder()
                                   .attempt(number)
                                   .endpoint(endpoint)
                                   .checkpoint(waiting.checkpoint())
                                   .Build())
                        .Build());
  const TaskAttemptId attempt =
      TaskAttemptId::Builder().task(task.id()).number(number).Build();
  tables.journal_.Push(
      TaskAssigned::Builder().task(attempt).endpoint(endpoint).Build());
}

void RequeueDueTasks(TaskTable& tasks, Instant now) {
  for (const TaskId& id : tasks.DeferredDue(now)) {
    const Task task = *tasks.Find(id);
    const auto& waiting = std::get<Waiting>(task.state());
    tasks.Put(
        Task::Builder(task)
            .state(Waiting::Builder(waiting).not_before(Instant()).Build())
            .Build());
  }
}

std::vector<TaskId> NextReadyTasks(const TaskTable& tasks) {
  std::vector<TaskId> first;
  for (const auto& [non_urgent, since, id] : tasks.ready()) {
    if (first.size() == kMaxTasksPerPass) break;
    first.push_back(id);
  }
  return first;
}

}  // namespace

void PlaceTasks(EntryTables& tables, EntryTick& tick) {
  if (!std::holds_alternative<Holding>(tables.cell_.stage())) return;
  RequeueDueTasks(tables.tasks_, tick.now());
  tick.WakeAt(tables.tasks_.NextDeferred());
  if (tables.tasks_.ready().empty()) return;
  if (tick.now() < tables.next_placement_) {
    return tick.WakeAt(tables.next_placement_);
  }
  tables.next_placement_ = tick.now() + kPlacementInterval;
  for (const TaskId& id : NextReadyTasks(tables.tasks_)) {
    const Task task = *tables.tasks_.Find(id);
    const std::optional<Candidate> choice =
        ChooseInstance(task, tables, tick.now(), tick.random());
    if (choice) {
      AssignTo(choice->id_, task, tables);
    } else {
      DeferTask(task, tables, tick.now());
    }
  }
  if (!tables.tasks_.ready().empty()) tick.WakeAt(tables.next_placement_);
  tick.WakeAt(tables.tasks_.NextDeferred());
}

}  // namespace quetzalline
