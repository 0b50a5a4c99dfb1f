#include "systems/entry/acknowledge_record.h"

#include <string>

#include "core/overloaded.h"
#include "systems/entry/report_status.h"
#include "systems/entry/run_commands.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

void AnswerSubmissions(const TaskAccepted& record, EntryTables& tables,
                       EntryTick& tick) {
  tick.counters().Add(Counter::kTasksAccepted);
  for (const std::uint64_t id : tables.commands_.CommandsOfJob(record.job())) {
    const PendingCommand* row = tables.commands_.Find(id);
    if (!std::holds_alternative<SubmitJob>(row->command())) continue;
    AnswerCommand(id, JobAccepted::Builder().job(record.job()).Build(), tables,
                  tick);
  }
}

void AnswerCancellations(const JobCancellation& record, EntryTables& tables,
                         EntryTick& tick) {
  std::string state;
  for (const TaskId& id : tables.tasks_.TasksOfJob(record.job())) {
    tick.counters().Add(Counter::kTasksCancelled);
    state = StateName(*tables.tasks_.Find(id));
  }
  for (const std::uint64_t id : tables.commands_.CommandsOfJob(record.job())) {
    const PendingCommand* row = tables.commands_.Find(id);
    if (!std::holds_alternative<CancelJob>(row->command())) continue;
    AnswerCommand(
        id, JobCancelled::Builder().job(record.job()).state(state).Build(),
        tables, tick);
  }
}

void CountTaskEnd(const TaskEvent& event, Counters& counters) {
  std::visit(
      Overloaded{
          [](const TaskStarted&) {},
          [&](const TaskFinished&) { counters.Add(Counter::kTasksFinished); },
          [&](const TaskFailed& failed) {
            counters.Add(Counter::kTasksFailed, failed.reason());
          },
          [&](const TaskStopped&) { counters.Add(Counter::kTasksEvicted); },
          [&](const TaskRefused& refused) {
            counters.Add(Counter::kTasksRefused, refused.reason());
          }},
      event);
}

void AcknowledgeCompletion(const TaskEnded& record, EntryTables& tables,
                           EntryTick& tick) {
  tables.journal_.ForgetEnd(record.task());
  CountTaskEnd(record.news(), tick.counters());
  const Task* task = tables.tasks_.Find(record.task().task());
  if (task != nullptr && std::holds_alternative<GivenUp>(task->state())) {
    tick.counters().Add(Counter::kTasksGivenUp, task->last_reason());
  }
  const Endpoint* endpoint = tables.endpoints_.Find(record.endpoint());
  if (endpoint == nullptr || !endpoint->reachable()) return;
  SendMessage(endpoint->connection(),
              AcknowledgeTask::Builder()
                  .task(record.task())
                  .epoch(tables.cell_.epoch())
                  .Build(),
              tick);
}

}  // namespace

void AcknowledgeRecord(const JournalRecord& record, EntryTables& tables,
                       EntryTick& tick) {
  std::visit(
      Overloaded{
          [](const CellSealed&) {},
          [&](const TaskAccepted& r) { AnswerSubmissions(r, tables, tick); },
          [&](const TaskAssigned&) {
            tick.counters().Add(Counter::kTasksAssigned);
          },
          [&](const TaskEnded& r) { AcknowledgeCompletion(r, tables, tick); },
          [&](const JobCancellation& r) {
            AnswerCancellations(r, tables, tick);
          }},
      record);
}

}  // namespace quetzalline
