#include "systems/agent/run_tasks.h"

#include <optional>
#include <vector>

#include "core/overloaded.h"
#include "core/resources_arithmetic.h"

namespace quetzalline {
namespace {

// Minimum time by which the worker's lease is extended. Without it, every
// heartbeat reply would send a renewal to the worker.
constexpr Duration kMinLeaseExtension = std::chrono::seconds(1);

bool HasEnded(const TrackedTask& row) {
  return row.news() && IsTerminal(*row.news());
}

// Returns the resources that tasks occupy, those being stopped included.
Resources ResourcesInUse(const TrackedTaskTable& tasks) {
  Resources sum;
  for (const auto& [id, row] : tasks) {
    if (!HasEnded(row)) sum = Sum(sum, row.work().needs());
  }
  return sum;
}

// Returns the connection of the cell's holder as far as the agent knows from
// heartbeat replies: the one with the highest epoch, and among several of that
// epoch the newest. Returns empty if no connected entry has claimed the cell.
std::optional<ConnectionId> HolderConnection(const EntryLinkTable& links) {
  const EntryLink* best = nullptr;
  for (const auto& [connection, link] : links) {
    if (link.epoch() == 0) continue;
    const bool better = best == nullptr || link.epoch() > best->epoch() ||
                        (link.epoch() == best->epoch() &&
                         link.connection() > best->connection());
    if (better) best = &link;
  }
  if (best == nullptr) return std::nullopt;
  return best->connection();
}

// Reports the last event of a task attempt, which must be present.
void SendReport(const TrackedTask& row, ConnectionId connection,
                AgentTick& tick) {
  tick.Emit(
      SendToEntry::Builder()
          .connection(connection)
          .message(
              TaskReport::Builder().task(row.task()).news(*row.news()).Build())
          .Build());
}

void RefuseTask(const Received<StartTask>& received, Reason reason,
                AgentTick& tick) {
  tick.counters().Add(Counter::kTasksRefused, reason);
  const TaskRefused refused = TaskRefused::Builder().reason(reason).Build();
  tick.Emit(SendToEntry::Builder()
                .connection(received.connection_)
                .message(TaskReport::Builder()
                             .task(received.message_.task())
                             .news(refused)
                             .Build())
                .Build());
}

// Returns the reason to refuse a task attempt; empty if it may start.
std::optional<Reason> StartRefusalReason(const StartTask& start,
                                         const AgentTables& tables,
                                         Instant now) {
  if (start.epoch() < tables.stage_.epoch()) return Reason::kStaleEpoch;
  if (tables.stage_.state() != EndpointState::kActive) return Reason::kLeaving;
  if (tables.stage_.worker_lease_end() <= now) return Reason::kLeaseLapsed;
  const TrackedTask* known = tables.tasks_.Find(start.task().task());
  if (known != nullptr) {
    if (known->task().number() > start.task().number()) {
      return Reason::kStaleAttempt;
    }
    if (!HasEnded(*known)) return Reason::kConflict;
  }
  const Resources needed =
      Sum(ResourcesInUse(tables.tasks_), start.work().needs());
  if (!Fits(needed, tables.policy_.capacity())) return Reason::kDoesNotFit;
  return std::nullopt;
}

// Starts a task attempt or refuses it. A repeated command for an attempt that
// is already here only reports its last event again.
void HandleStartTask(const Received<StartTask>& received, AgentTables& tables,
                     AgentTick& tick) {
  const StartTask& start = received.message_;
  const TrackedTask* known = tables.tasks_.Find(start.task().task());
  if (known != nullptr && known->task() == start.task()) {
    if (known->news()) SendReport(*known, received.connection_, tick);
    return;
  }
  const std::optional<Reason> refusal_reason =
      StartRefusalReason(start, tables, tick.now());
  if (refusal_reason) return RefuseTask(received, *refusal_reason, tick);
  tables.tasks_.Put(start.task().task(), TrackedTask::Builder()
                                             .task(start.task())
                                             .epoch(start.epoch())
                                             .work(start.work())
                                             .Build());
  tick.counters().Add(Counter::kTasksStarted);
  tick.Emit(StartWork::Builder()
                .task(start.task())
                .work(start.work())
                .checkpoint(start.checkpoint())
                .lease_until(tables.stage_.worker_lease_end())
                .Build());
}

void StopRunningTask(const TrackedTask& row, TrackedTaskTable& tasks,
                     AgentTick& tick) {
  if (HasEnded(row) || row.stopping()) return;
  tasks.Put(row.task().task(),
            TrackedTask::Builder(row).stopping(true).Build());
  tick.Emit(StopWork::Builder().task(row.task()).Build());
}

// Stops a task attempt. If the attempt never arrived, a row in state stopped is
// recorded, so that a start command that arrives later does not run it.
void HandleStopTask(const Received<StopTask>& received, AgentTables& tables,
                    AgentTick& tick) {
  const StopTask& stop = received.message_;
  if (stop.epoch() < tables.stage_.epoch()) return;
  const TrackedTask* known = tables.tasks_.Find(stop.task().task());
  if (known != nullptr && known->task().number() > stop.task().number()) return;
  if (known != nullptr && known->task() == stop.task()) {
    if (HasEnded(*known)) return SendReport(*known, received.connection_, tick);
    return StopRunningTask(*known, tables.tasks_, tick);
  }
  if (known != nullptr && !HasEnded(*known)) return;
  const TrackedTask never_started = TrackedTask::Builder()
                                        .task(stop.task())
                                        .epoch(stop.epoch())
                                        .news(TaskStopped())
                                        .reported(tick.now())
                                        .Build();
  tables.tasks_.Put(stop.task().task(), never_started);
  SendReport(never_started, received.connection_, tick);
}

// Takes over a task attempt that the worker was already running when the agent
// started.
void AdoptTask(const WorkerTaskFound& found, TrackedTaskTable& tasks,
               Instant now) {
  tasks.Put(found.task().task(), TrackedTask::Builder()
                                     .task(found.task())
                                     .work(found.work())
                                     .news(TaskStarted())
                                     .reported(now)
                                     .Build());
}

// Returns the row that the event updates; empty if the event is stale or is the
// start of an attempt of an unknown task. A task that is not in the table was
// started by an earlier incarnation of the agent. The end of its attempt is
// reported all the same, so a new row is returned for it.
std::optional<TrackedTask> RowToUpdate(const WorkerTaskEvent& event,
                                       const TrackedTaskTable& tasks) {
  const TrackedTask* row = tasks.Find(event.task().task());
  if (row == nullptr && IsTerminal(event.news())) {
    return TrackedTask::Builder().task(event.task()).Build();
  }
  if (row == nullptr || row->task() != event.task() || HasEnded(*row)) {
    return std::nullopt;
  }
  return *row;
}

void HandleWorkerTaskEvent(const WorkerTaskEvent& event, AgentTables& tables,
                           AgentTick& tick) {
  const std::optional<TrackedTask> row = RowToUpdate(event, tables.tasks_);
  if (!row) return;
  const TrackedTask updated = TrackedTask::Builder(*row)
                                  .news(event.news())
                                  .reported(tick.now())
                                  .Build();
  tables.tasks_.Put(event.task().task(), updated);
  if (IsTerminal(event.news())) tick.counters().Add(Counter::kTasksStopped);
  const std::optional<ConnectionId> holder = HolderConnection(tables.links_);
  if (holder) SendReport(updated, *holder, tick);
}

void HandleAcknowledgeTask(const AcknowledgeTask& message,
                           TrackedTaskTable& tasks, Instant now) {
  const TrackedTask* row = tasks.Find(message.task().task());
  if (row == nullptr || row->task() != message.task()) return;
  if (!HasEnded(*row) || row->acknowledged()) return;
  tasks.Put(
      message.task().task(),
      TrackedTask::Builder(*row).acknowledged(true).reported(now).Build());
}

// Stops every task when the lease on tasks has ended. Until the agent has heard
// from a holder of the cell, it has no lease of its own; tasks of an earlier
// incarnation of the agent are then limited by the lease which that one gave to
// the worker.
void StopTasksAfterLeaseEnd(AgentTables& tables, AgentTick& tick) {
  if (tables.stage_.epoch() == 0) return;
  const Instant lease_end = tables.stage_.task_lease_end();
  std::vector<TrackedTask> running;
  for (const auto& [id, row] : tables.tasks_) {
    if (!HasEnded(row) && !row.stopping()) running.push_back(row);
  }
  if (running.empty()) return;
  if (tick.now() < lease_end) return tick.WakeAt(lease_end);
  tick.counters().Add(Counter::kTaskLeasesLapsed);
  for (const TrackedTask& row : running) {
    StopRunningTask(row, tables.tasks_, tick);
  }
}

// Renews the worker's lease once the lease on tasks is at least
// kMinLeaseExtension longer than the one the worker has.
void RenewWorkerLease(AgentTables& tables, AgentTick& tick) {
  const Instant lease_end = tables.stage_.task_lease_end();
  if (lease_end < tables.stage_.worker_lease_end() + kMinLeaseExtension) return;
  tables.stage_ =
      AgentStage::Builder(tables.stage_).worker_lease_end(lease_end).Build();
  tick.Emit(RenewWork::Builder().until(lease_end).Build());
}

// Reports the ends of task attempts again until they are acknowledged, and
// removes acknowledged rows after the retention time. Until then such a row
// keeps a repeated start command from running the attempt again.
void ResendTaskReports(AgentTables& tables, AgentTick& tick) {
  const std::optional<ConnectionId> holder = HolderConnection(tables.links_);
  std::vector<TrackedTask> ended;
  for (const auto& [id, row] : tables.tasks_) {
    if (HasEnded(row)) ended.push_back(row);
  }
  for (const TrackedTask& row : ended) {
    const Duration interval = row.acknowledged()
                                  ? tables.policy_.answer_retention()
                                  : tables.policy_.report_resend();
    if (tick.now() < row.reported() + interval) {
      tick.WakeAt(row.reported() + interval);
      continue;
    }
    if (row.acknowledged()) {
      tables.tasks_.Erase(row.task().task());
      continue;
    }
    tables.tasks_.Put(row.task().task(),
                      TrackedTask::Builder(row).reported(tick.now()).Build());
    tick.WakeAt(tick.now() + interval);
    if (holder) SendReport(row, *holder, tick);
  }
}

}  // namespace

bool IsTerminal(const TaskEvent& event) {
  return std::visit(Overloaded{[](const TaskStarted&) { return false; },
                               [](const TaskFinished&) { return true; },
                               [](const TaskFailed&) { return true; },
                               [](const TaskStopped&) { return true; },
                               [](const TaskRefused&) { return true; }},
                    event);
}

void RunTasks(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick) {
  RenewWorkerLease(tables, tick);
  for (const WorkerTaskFound& found : inbox.worker_found_) {
    AdoptTask(found, tables.tasks_, tick.now());
  }
  if (inbox.worker_listed_) {
    tables.stage_ =
        AgentStage::Builder(tables.stage_).worker_listed(true).Build();
  }
  for (const WorkerTaskEvent& event : inbox.worker_task_events_) {
    HandleWorkerTaskEvent(event, tables, tick);
  }
  for (const Received<AcknowledgeTask>& received : inbox.acknowledge_tasks_) {
    HandleAcknowledgeTask(received.message_, tables.tasks_, tick.now());
  }
  for (const Received<StopTask>& received : inbox.stop_tasks_) {
    HandleStopTask(received, tables, tick);
  }
  for (const Received<StartTask>& received : inbox.start_tasks_) {
    HandleStartTask(received, tables, tick);
  }
  StopTasksAfterLeaseEnd(tables, tick);
  ResendTaskReports(tables, tick);
}

}  // namespace quetzalline
