#include "systems/entry/apply_record.h"

#include <algorithm>

#include "core/overloaded.h"

namespace quetzalline {
namespace {

void AddTask(const TaskAccepted& record, TaskTable& tasks, Instant now) {
  if (tasks.Find(record.id()) != nullptr) return;
  tasks.Put(Task::Builder()
                .id(record.id())
                .job(record.job())
                .service(record.service())
                .work(record.work())
                .team(record.team())
                .handed_in(now)
                .state(Waiting::Builder().since(now).Build())
                .Build());
}

// Returns the checkpoint of a task that may be assigned, or nullopt if it may
// not be.
std::optional<std::string> AssignableCheckpoint(const TaskState& state) {
  using Result = std::optional<std::string>;
  return std::visit(
      Overloaded{[](const Waiting& s) { return Result(s.checkpoint()); },
                 [](const Assigning& s) { return Result(s.checkpoint()); },
                 [](const Assigned&) { return Result(); },
                 [](const Finished&) { return Result(); },
                 [](const GivenUp&) { return Result(); },
                 [](const Cancelled&) { return Result(); }},
      state);
}

void AssignTask(const TaskAssigned& record, TaskTable& tasks, Instant now) {
  const Task* task = tasks.Find(record.task().task());
  if (task == nullptr || record.task().number() <= task->attempts()) return;
  const std::optional<std::string> checkpoint =
      AssignableCheckpoint(task->state());
  if (!checkpoint) return;
  tasks.Put(Task::Builder(*task)
                .attempts(record.task().number())
                .state(Assigned::Builder()
                           .attempt(record.task().number())
                           .endpoint(record.endpoint())
                           .since(now)
                           .checkpoint(*checkpoint)
                           .next_send(now)
                           .Build())
                .Build());
}

Task Requeue(const Task& task, const std::string& checkpoint, Reason reason,
             Instant now) {
  return Task::Builder(task)
      .last_reason(reason)
      .state(Waiting::Builder().since(now).checkpoint(checkpoint).Build())
      .Build();
}

// A long-running service that ends by itself is restarted.
Task AfterFinish(const Task& task, Instant now) {
  const Finished finished = Finished::Builder().at(now).Build();
  const Task done = Task::Builder(task).state(finished).Build();
  return std::visit(Overloaded{[&](const ServiceWorkload&) {
                                 return Requeue(task, "", Reason::kNone, now);
                               },
                               [&](const BatchWorkload&) { return done; },
                               [&](const WatcherWorkload&) { return done; }},
                    task.work()->workload());
}

Task AfterFailure(const Task& task, const Assigned& state, Reason reason,
                  Instant now) {
  if (reason == Reason::kInstanceLost) {
    return Requeue(task, state.checkpoint(), reason, now);
  }
  std::vector<EndpointId> failed_on = task.failed_on();
  const bool is_listed = std::find(failed_on.begin(), failed_on.end(),
                                   state.endpoint()) != failed_on.end();
  if (!is_listed) failed_on.push_back(state.endpoint());
  const auto failed_instances = static_cast<std::int32_t>(failed_on.size());
  const Task failed =
      Task::Builder(task).failed_on(failed_on).last_reason(reason).Build();
  if (failed_instances < task.work()->max_attempts()) {
    return Requeue(failed, state.checkpoint(), reason, now);
  }
  return Task::Builder(failed)
      .state(GivenUp::Builder().at(now).reason(reason).Build())
      .Build();
}

Task AfterStop(const Task& task, const Assigned& state,
               const std::string& new_checkpoint, Instant now) {
  const std::string& checkpoint =
      new_checkpoint.empty() ? state.checkpoint() : new_checkpoint;
  return Requeue(task, checkpoint, state.stopping(), now);
}

Task AfterEnd(const Task& task, const Assigned& state, const TaskEvent& event,
              Instant now) {
  return std::visit(
      Overloaded{[&](const TaskStarted&) { return task; },
                 [&](const TaskFinished&) { return AfterFinish(task, now); },
                 [&](const TaskFailed& failed) {
                   return AfterFailure(task, state, failed.reason(), now);
                 },
                 [&](const TaskStopped& stopped) {
                   return AfterStop(task, state, stopped.checkpoint(), now);
                 },
                 [&](const TaskRefused& refused) {
                   return Requeue(task, state.checkpoint(), refused.reason(),
                                  now);
                 }},
      event);
}

Task MakeCancelled(const Task& task, bool ran, Instant now) {
  return Task::Builder(task)
      .last_reason(Reason::kCancelled)
      .state(Cancelled::Builder().at(now).ran(ran).Build())
      .Build();
}

void EndAttempt(const TaskEnded& record, TaskTable& tasks, Instant now) {
  const Task* task = tasks.Find(record.task().task());
  if (task == nullptr) return;
  const auto* state = std::get_if<Assigned>(&task->state());
  if (state == nullptr || state->attempt() != record.task().number()) return;
  const bool cancelled = state->stopping() == Reason::kCancelled &&
                         !std::holds_alternative<TaskFinished>(record.news());
  if (cancelled) {
    const bool ran = !std::holds_alternative<TaskRefused>(record.news());
    return tasks.Put(MakeCancelled(*task, ran, now));
  }
  tasks.Put(AfterEnd(*task, *state, record.news(), now));
}

Task AfterCancellation(const Task& task, Instant now) {
  const bool ran = task.attempts() > 0;
  return std::visit(
      Overloaded{
          [&](const Waiting&) { return MakeCancelled(task, ran, now); },
          [&](const Assigning&) { return MakeCancelled(task, ran, now); },
          [&](const Assigned& state) {
            return Task::Builder(task)
                .state(Assigned::Builder(state)
                           .stopping(Reason::kCancelled)
                           .next_send(now)
                           .Build())
                .Build();
          },
          [&](const Finished&) { return task; },
          [&](const GivenUp&) { return task; },
          [&](const Cancelled&) { return task; }},
      task.state());
}

void CancelJobTasks(const JobCancellation& record, TaskTable& tasks,
                    Instant now) {
  for (const TaskId& id : tasks.TasksOfJob(record.job())) {
    tasks.Put(AfterCancellation(*tasks.Find(id), now));
  }
}

}  // namespace

void ApplyRecord(const JournalRecord& record, TaskTable& tasks, Instant now) {
  std::visit(
      Overloaded{
          [](const CellSealed&) {},
          [&](const TaskAccepted& r) { AddTask(r, tasks, now); },
          [&](const TaskAssigned& r) { AssignTask(r, tasks, now); },
          [&](const TaskEnded& r) { EndAttempt(r, tasks, now); },
          [&](const JobCancellation& r) { CancelJobTasks(r, tasks, now); }},
      record);
}

void LoadTask(const Task& task, TaskTable& tasks, Instant now) {
  const TaskState state = std::visit(
      Overloaded{
          [&](const Waiting& s) -> TaskState {
            return Waiting::Builder(s).since(now).not_before(now).Build();
          },
          // The assignment was not durable when the snapshot was taken, so the
          // task waits again.
          [&](const Assigning& s) -> TaskState {
            return Waiting::Builder()
                .since(now)
                .checkpoint(s.checkpoint())
                .Build();
          },
          [&](const Assigned& s) -> TaskState {
            return Assigned::Builder(s)
                .since(now)
                .running(false)
                .incarnation(0)
                .next_send(now)
                .Build();
          },
          [&](const Finished&) -> TaskState {
            return Finished::Builder().at(now).Build();
          },
          [&](const GivenUp& s) -> TaskState {
            return GivenUp::Builder(s).at(now).Build();
          },
          [&](const Cancelled& s) -> TaskState {
            return Cancelled::Builder(s).at(now).Build();
          }},
      task.state());
  tasks.Put(Task::Builder(task).handed_in(now).state(state).Build());
}

}  // namespace quetzalline
