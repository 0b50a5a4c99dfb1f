#include "systems/agent/run_tasks.h"

#include <optional>
#include <vector>

#include "core/overloaded.h"
#include "core/resources_arithmetic.h"

namespace quetzalline {
namespace {

// Least time by which the worker's lease is extended at once.
constexpr Duration kRenewalStep = std::chrono::seconds(1);

bool HasEnded(const HeldTask& row) {
  return row.news() && IsTerminal(*row.news());
}

Resources Held(const HeldTaskTable& tasks) {
  Resources sum;
  for (const auto& [id, row] : tasks) {
    if (!HasEnded(row)) sum = Sum(sum, row.work().needs());
  }
  return sum;
}

// The connection of the entry that holds the cell, as far as the agent knows.
std::optional<ConnectionId> HolderLink(const EntryLinkTable& links) {
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

void Report(const HeldTask& row, ConnectionId connection, AgentTick& tick) {
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

// The reason not to start a task attempt, if there is one.
std::optional<Reason> Obstacle(const StartTask& start,
                               const AgentTables& tables, Instant now) {
  if (start.epoch() < tables.stage_.epoch()) return Reason::kStaleEpoch;
  if (tables.stage_.state() != EndpointState::kActive) return Reason::kLeaving;
  if (tables.stage_.worker_lease_end() <= now) return Reason::kLeaseLapsed;
  const HeldTask* known = tables.tasks_.Find(start.task().task());
  if (known != nullptr) {
    if (known->task().number() > start.task().number()) {
      return Reason::kStaleAttempt;
    }
    if (!HasEnded(*known)) return Reason::kConflict;
  }
  const Resources needed = Sum(Held(tables.tasks_), start.work().needs());
  if (!Fits(needed, tables.policy_.capacity())) return Reason::kDoesNotFit;
  return std::nullopt;
}

void StartOne(const Received<StartTask>& received, AgentTables& tables,
              AgentTick& tick) {
  const StartTask& start = received.message_;
  const HeldTask* known = tables.tasks_.Find(start.task().task());
  if (known != nullptr && known->task() == start.task()) {
    if (known->news()) Report(*known, received.connection_, tick);
    return;
  }
  const std::optional<Reason> obstacle = Obstacle(start, tables, tick.now());
  if (obstacle) return RefuseTask(received, *obstacle, tick);
  tables.tasks_.Put(start.task().task(), HeldTask::Builder()
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

void StopHeld(const HeldTask& row, HeldTaskTable& tasks, AgentTick& tick) {
  if (HasEnded(row) || row.stopping()) return;
  tasks.Put(row.task().task(), HeldTask::Builder(row).stopping(true).Build());
  tick.Emit(StopWork::Builder().task(row.task()).Build());
}

// A stop for an attempt that never came leaves a row that refuses it for good.
void StopOne(const Received<StopTask>& received, AgentTables& tables,
             AgentTick& tick) {
  const StopTask& stop = received.message_;
  if (stop.epoch() < tables.stage_.epoch()) return;
  const HeldTask* known = tables.tasks_.Find(stop.task().task());
  if (known != nullptr && known->task().number() > stop.task().number()) return;
  if (known != nullptr && known->task() == stop.task()) {
    if (HasEnded(*known)) return Report(*known, received.connection_, tick);
    return StopHeld(*known, tables.tasks_, tick);
  }
  if (known != nullptr && !HasEnded(*known)) return;
  const HeldTask never_started = HeldTask::Builder()
                                     .task(stop.task())
                                     .epoch(stop.epoch())
                                     .news(TaskStopped())
                                     .reported(tick.now())
                                     .Build();
  tables.tasks_.Put(stop.task().task(), never_started);
  Report(never_started, received.connection_, tick);
}

void Adopt(const WorkerFound& found, HeldTaskTable& tasks, Instant now) {
  tasks.Put(found.task().task(), HeldTask::Builder()
                                     .task(found.task())
                                     .work(found.work())
                                     .news(TaskStarted())
                                     .reported(now)
                                     .Build());
}

// News of an attempt that this agent does not hold is from the time of an
// earlier agent; what ended then is reported too.
std::optional<HeldTask> RowFor(const WorkerNews& news,
                               const HeldTaskTable& tasks) {
  const HeldTask* row = tasks.Find(news.task().task());
  if (row == nullptr && IsTerminal(news.news())) {
    return HeldTask::Builder().task(news.task()).Build();
  }
  if (row == nullptr || row->task() != news.task() || HasEnded(*row)) {
    return std::nullopt;
  }
  return *row;
}

void TakeNews(const WorkerNews& news, AgentTables& tables, AgentTick& tick) {
  const std::optional<HeldTask> row = RowFor(news, tables.tasks_);
  if (!row) return;
  const HeldTask updated =
      HeldTask::Builder(*row).news(news.news()).reported(tick.now()).Build();
  tables.tasks_.Put(news.task().task(), updated);
  if (IsTerminal(news.news())) tick.counters().Add(Counter::kTasksStopped);
  const std::optional<ConnectionId> holder = HolderLink(tables.links_);
  if (holder) Report(updated, *holder, tick);
}

void AcknowledgeOne(const AcknowledgeTask& message, HeldTaskTable& tasks,
                    Instant now) {
  const HeldTask* row = tasks.Find(message.task().task());
  if (row == nullptr || row->task() != message.task()) return;
  if (!HasEnded(*row) || row->acknowledged()) return;
  tasks.Put(message.task().task(),
            HeldTask::Builder(*row).acknowledged(true).reported(now).Build());
}

// Until the holder of the cell is heard, tasks that an earlier agent started
// run on the lease that it gave the worker.
void StopAllWithoutLease(AgentTables& tables, AgentTick& tick) {
  if (tables.stage_.epoch() == 0) return;
  const Instant lease_end = tables.stage_.task_lease_end();
  std::vector<HeldTask> running;
  for (const auto& [id, row] : tables.tasks_) {
    if (!HasEnded(row) && !row.stopping()) running.push_back(row);
  }
  if (running.empty()) return;
  if (tick.now() < lease_end) return tick.WakeAt(lease_end);
  tick.counters().Add(Counter::kTaskLeasesLapsed);
  for (const HeldTask& row : running) StopHeld(row, tables.tasks_, tick);
}

// The worker is told of the lease in steps, not with every heartbeat.
void RenewWorkerLease(AgentTables& tables, AgentTick& tick) {
  const Instant lease_end = tables.stage_.task_lease_end();
  if (lease_end < tables.stage_.worker_lease_end() + kRenewalStep) return;
  tables.stage_ =
      AgentStage::Builder(tables.stage_).worker_lease_end(lease_end).Build();
  tick.Emit(RenewWork::Builder().until(lease_end).Build());
}

// Repeats terminal news until it is acknowledged, and forgets it a while after.
void RepeatNews(AgentTables& tables, AgentTick& tick) {
  const std::optional<ConnectionId> holder = HolderLink(tables.links_);
  std::vector<HeldTask> ended;
  for (const auto& [id, row] : tables.tasks_) {
    if (HasEnded(row)) ended.push_back(row);
  }
  for (const HeldTask& row : ended) {
    const Duration pause = row.acknowledged()
                               ? tables.policy_.answer_retention()
                               : tables.policy_.report_resend();
    if (tick.now() < row.reported() + pause) {
      tick.WakeAt(row.reported() + pause);
      continue;
    }
    if (row.acknowledged()) {
      tables.tasks_.Erase(row.task().task());
      continue;
    }
    tables.tasks_.Put(row.task().task(),
                      HeldTask::Builder(row).reported(tick.now()).Build());
    tick.WakeAt(tick.now() + pause);
    if (holder) Report(row, *holder, tick);
  }
}

}  // namespace

bool IsTerminal(const TaskEvent& news) {
  return std::visit(Overloaded{[](const TaskStarted&) { return false; },
                               [](const TaskFinished&) { return true; },
                               [](const TaskFailed&) { return true; },
                               [](const TaskStopped&) { return true; },
                               [](const TaskRefused&) { return true; }},
                    news);
}

void RunTasks(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick) {
  RenewWorkerLease(tables, tick);
  for (const WorkerFound& found : inbox.worker_found_) {
    Adopt(found, tables.tasks_, tick.now());
  }
  if (inbox.worker_listed_) {
    tables.stage_ =
        AgentStage::Builder(tables.stage_).worker_listed(true).Build();
  }
  for (const WorkerNews& news : inbox.worker_news_) {
    TakeNews(news, tables, tick);
  }
  for (const Received<AcknowledgeTask>& received : inbox.acknowledge_tasks_) {
    AcknowledgeOne(received.message_, tables.tasks_, tick.now());
  }
  for (const Received<StopTask>& received : inbox.stop_tasks_) {
    StopOne(received, tables, tick);
  }
  for (const Received<StartTask>& received : inbox.start_tasks_) {
    StartOne(received, tables, tick);
  }
  StopAllWithoutLease(tables, tick);
  RepeatNews(tables, tick);
}

}  // namespace quetzalline
