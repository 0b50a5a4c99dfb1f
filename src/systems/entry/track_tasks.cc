#include "systems/entry/track_tasks.h"

#include <algorithm>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

constexpr Duration kLossCheckInterval = std::chrono::seconds(1);
constexpr std::int32_t kFailuresBeforeQuarantine = 3;
constexpr Duration kInitialQuarantine = std::chrono::seconds(10);
constexpr std::int32_t kMaxQuarantineShift = 6;

TaskAttemptId AttemptOf(const Task& task, const Assigned& state) {
  return TaskAttemptId::Builder()
      .task(task.id())
      .number(state.attempt())
      .Build();
}

void QueueEnd(const Task& task, const Assigned& state, const TaskEvent& event,
              JournalQueue& journal) {
  const TaskAttemptId attempt = AttemptOf(task, state);
  if (journal.HasEnd(attempt)) return;
  journal.Push(TaskEnded::Builder()
                   .task(attempt)
                   .endpoint(state.endpoint())
                   .news(event)
                   .Build());
}

// Records a failed task. An instance on which several tasks fail in a row is
// quarantined, each time for twice as long up to a limit; one task after the
// quarantine serves as its probe.
void RecordFailure(const EndpointId& id, WorkerHealthTable& table,
                   Instant now) {
  const WorkerHealth* old = table.Find(id);
  const std::int32_t failures = old == nullptr ? 1 : old->failures() + 1;
  WorkerHealth::Builder builder;
  builder.failures(failures);
  if (failures >= kFailuresBeforeQuarantine) {
    const std::int32_t shift =
        std::min(failures - kFailuresBeforeQuarantine, kMaxQuarantineShift);
    builder.rested_until(now + kInitialQuarantine * (1 << shift));
  }
  table.Put(id, std::move(builder).Build());
}

void RecordOutcome(const EndpointId& id, const TaskEvent& event,
                   WorkerHealthTable& table, Instant now) {
  std::visit(
      Overloaded{[](const TaskStarted&) {},
                 [&](const TaskFinished&) { table.Erase(id); },
                 [&](const TaskFailed&) { RecordFailure(id, table, now); },
                 [](const TaskStopped&) {}, [](const TaskRefused&) {}},
      event);
}

void MarkRunning(const Task& task, const Assigned& state, EntryTables& tables) {
  const Endpoint* endpoint = tables.endpoints_.Find(state.endpoint());
  if (endpoint == nullptr || state.running()) return;
  tables.tasks_.Put(
      Task::Builder(task)
          .state(Assigned::Builder(state)
                     .running(true)
                     .incarnation(endpoint->announced()->incarnation())
                     .Build())
          .Build());
}

void HandleCurrentAttempt(const Task& task, const Assigned& state,
                          const TaskEvent& event, EntryTables& tables,
                          EntryTick& tick) {
  if (std::holds_alternative<TaskStarted>(event)) {
    return MarkRunning(task, state, tables);
  }
  if (tables.journal_.HasEnd(AttemptOf(task, state))) return;
  RecordOutcome(state.endpoint(), event, tables.worker_health_, tick.now());
  QueueEnd(task, state, event, tables.journal_);
}

// Handles a report on an attempt that is not the current one: a started attempt
// is stopped, and the end of an attempt is acknowledged.
void HandleStaleAttempt(const Received<TaskReport>& received,
                        EntryTables& tables, EntryTick& tick) {
  const TaskAttemptId& attempt = received.message_.task();
  const std::uint64_t epoch = tables.cell_.epoch();
  if (std::holds_alternative<TaskStarted>(received.message_.news())) {
    return SendMessage(received.connection_,
                       StopTask::Builder().task(attempt).epoch(epoch).Build(),
                       tick);
  }
  SendMessage(received.connection_,
              AcknowledgeTask::Builder().task(attempt).epoch(epoch).Build(),
              tick);
}

void HandleTaskReport(const Received<TaskReport>& received, EntryTables& tables,
                      EntryTick& tick) {
  const TaskAttemptId& attempt = received.message_.task();
  const Endpoint* sender =
      tables.endpoints_.FindByConnection(received.connection_);
  if (sender == nullptr) return;
  const Task* found = tables.tasks_.Find(attempt.task());
  const auto* state =
      found == nullptr ? nullptr : std::get_if<Assigned>(&found->state());
  const bool current = state != nullptr &&
                       state->attempt() == attempt.number() &&
                       state->endpoint() == sender->announced()->endpoint();
  if (!current) return HandleStaleAttempt(received, tables, tick);
  const Task task = *found;
  HandleCurrentAttempt(task, std::get<Assigned>(task.state()),
                       received.message_.news(), tables, tick);
}

// Ends the tasks that ran at an earlier incarnation of the agent and that the
// present one does not hold: they have ended with their worker.
void EndUnlistedTasks(const Announce& announce, EntryTables& tables) {
  const std::vector<TaskAttemptId>& held = *announce.tasks();
  for (const TaskId& id : tables.tasks_.AssignedTo(announce.endpoint())) {
    const Task& task = *tables.tasks_.Find(id);
    const auto* state = std::get_if<Assigned>(&task.state());
    if (state == nullptr || !state->running()) continue;
    if (state->incarnation() == announce.incarnation()) continue;
    const TaskAttemptId attempt = AttemptOf(task, *state);
    if (std::find(held.begin(), held.end(), attempt) != held.end()) continue;
    const TaskFailed lost =
        TaskFailed::Builder().reason(Reason::kInstanceLost).Build();
    QueueEnd(task, *state, lost, tables.journal_);
  }
}

// Marks the listed task attempts that are current as running, and stops the
// others.
void ReconcileHeldTasks(const Received<Announce>& received, EntryTables& tables,
                        EntryTick& tick) {
  const Announce& announce = received.message_;
  for (const TaskAttemptId& attempt : *announce.tasks()) {
    const Task* task = tables.tasks_.Find(attempt.task());
    const auto* state =
        task == nullptr ? nullptr : std::get_if<Assigned>(&task->state());
    const bool current = state != nullptr &&
                         state->attempt() == attempt.number() &&
                         state->endpoint() == announce.endpoint();
    if (current) {
      const Task held = *task;
      MarkRunning(held, std::get<Assigned>(held.state()), tables);
      continue;
    }
    SendMessage(received.connection_,
                StopTask::Builder()
                    .task(attempt)
                    .epoch(tables.cell_.epoch())
                    .reason(Reason::kStaleAttempt)
                    .Build(),
                tick);
  }
}

void SendTaskCommand(const Task& task, EntryTables& tables, EntryTick& tick) {
  const auto& state = std::get<Assigned>(task.state());
  tables.tasks_.Put(
      Task::Builder(task)
          .state(Assigned::Builder(state)
                     .next_send(tick.now() + tables.policy_.start_resend())
                     .Build())
          .Build());
  const Endpoint* endpoint = tables.endpoints_.Find(state.endpoint());
  if (endpoint == nullptr || !endpoint->reachable()) return;
  const TaskAttemptId attempt = AttemptOf(task, state);
  // An attempt whose end is queued for the journal must not start.
  if (tables.journal_.HasEnd(attempt)) return;
  if (state.stopping() != Reason::kNone) {
    return SendMessage(endpoint->connection(),
                       StopTask::Builder()
                           .task(attempt)
                           .epoch(tables.cell_.epoch())
                           .reason(state.stopping())
                           .Build(),
                       tick);
  }
  SendMessage(endpoint->connection(),
              StartTask::Builder()
                  .task(attempt)
                  .epoch(tables.cell_.epoch())
                  .work(*task.work())
                  .checkpoint(state.checkpoint())
                  .Build(),
              tick);
}

// Returns the time from which the instance certainly runs none of its tasks.
// The grants of an earlier holder (of the cell's leader lease) are not known
// here, so its longest possible grant is assumed.
Instant LossCertainAt(const EndpointId& id, const EntryTables& tables) {
  const EntryPolicy& policy = tables.policy_;
  const Instant since = std::get<Holding>(tables.cell_.stage()).since();
  const Instant earlier_grants = since + policy.outage_lease() +
                                 policy.task_lease() + policy.drift_margin();
  const Endpoint* row = tables.endpoints_.Find(id);
  const bool has_granted = row != nullptr && row->task_lease_end() > since;
  return has_granted ? row->task_lease_end() : earlier_grants;
}

void EndTasksOfLostInstances(EntryTables& tables, Instant now) {
  for (const EndpointId& id : tables.tasks_.EndpointsInUse()) {
    const Endpoint* row = tables.endpoints_.Find(id);
    if (row != nullptr && row->reachable()) continue;
    if (now < LossCertainAt(id, tables)) continue;
    const TaskFailed lost =
        TaskFailed::Builder().reason(Reason::kInstanceLost).Build();
    for (const TaskId& task_id : tables.tasks_.AssignedTo(id)) {
      const Task& task = *tables.tasks_.Find(task_id);
      const auto* state = std::get_if<Assigned>(&task.state());
      if (state != nullptr) QueueEnd(task, *state, lost, tables.journal_);
    }
  }
}

void EraseExpiredTasks(EntryTables& tables, Instant now) {
  const Instant before = now - tables.policy_.finished_retention();
  for (const TaskId& id : tables.tasks_.EndedBy(before)) {
    tables.tasks_.Erase(id);
  }
}

}  // namespace

void TrackTasks(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick) {
  if (!std::holds_alternative<Holding>(tables.cell_.stage())) return;
  for (const Received<TaskReport>& received : inbox.task_reports_) {
    HandleTaskReport(received, tables, tick);
  }
  for (const Received<Announce>& received : inbox.announces_) {
    const Endpoint* row =
        tables.endpoints_.FindByConnection(received.connection_);
    const bool newest =
        row != nullptr && *row->announced() == received.message_;
    if (!newest || !received.message_.tasks()) continue;
    EndUnlistedTasks(received.message_, tables);
    ReconcileHeldTasks(received, tables, tick);
  }
  for (const TaskId& id : tables.tasks_.DueToSend(tick.now())) {
    const Task task = *tables.tasks_.Find(id);
    SendTaskCommand(task, tables, tick);
  }
  if (tick.now() >= tables.next_loss_check_) {
    tables.next_loss_check_ = tick.now() + kLossCheckInterval;
    EndTasksOfLostInstances(tables, tick.now());
    EraseExpiredTasks(tables, tick.now());
  }
  tick.WakeAt(tables.tasks_.NextSend());
  if (tables.tasks_.size() > 0) tick.WakeAt(tables.next_loss_check_);
}

}  // namespace quetzalline
