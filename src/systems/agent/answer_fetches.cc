#include "systems/agent/answer_fetches.h"

#include "core/overloaded.h"
#include "systems/agent/conclude_execution.h"

namespace quetzalline {
namespace {

void RefuseForGood(const Received<FetchOutcome>& fetch, AgentTables& tables,
                   AgentTick& tick) {
  const Execution row = Execution::Builder()
                            .id(fetch.message_.attempt())
                            .connection(fetch.connection_)
                            .Build();
  const NotRun refusal =
      NotRun::Builder().reason(Reason::kNeverArrived).Build();
  ConcludeExecution(row, refusal, tables, tick);
}

void AnswerFetch(const Received<FetchOutcome>& fetch, AgentTables& tables,
                 AgentTick& tick) {
  tick.counters().Add(Counter::kFetchesAnswered);
  const Execution* known = tables.executions_.Find(fetch.message_.attempt());
  if (known == nullptr) return RefuseForGood(fetch, tables, tick);
  const Execution row =
      Execution::Builder(*known).connection(fetch.connection_).Build();
  tables.executions_.Put(row);
  const Overloaded answer{
      [&](const Queued&) {
        if (!fetch.message_.cancel()) return;
        const NotRun cancelled =
            NotRun::Builder().reason(Reason::kCancelled).Build();
        ConcludeExecution(row, cancelled, tables, tick);
      },
      [](const Running&) {},
      [&](const Abandoned&) {
        const Unknown lapsed =
            Unknown::Builder().reason(Reason::kLeaseLapsed).Build();
        SendAnswer(tables, row, lapsed, tick);
      },
      [&](const Answered& answered) {
        SendAnswer(tables, row, answered.outcome(), tick);
      },
  };
  std::visit(answer, row.state());
}

void Forget(const AttemptId& id, ExecutionTable& executions) {
  const Execution* row = executions.Find(id);
  if (row == nullptr) return;
  if (std::holds_alternative<Answered>(row->state())) {
    executions.Erase(id);
    return;
  }
  if (const auto* abandoned = std::get_if<Abandoned>(&row->state())) {
    const Abandoned noted =
        Abandoned::Builder(*abandoned).acknowledged(true).Build();
    executions.Put(Execution::Builder(*row).state(noted).Build());
  }
}

// Refusals stay for their retention, as proof against a late frame.
bool IsTombstone(const Execution& row) {
  const auto* answered = std::get_if<Answered>(&row.state());
  if (answered == nullptr) return false;
  const auto* not_run = std::get_if<NotRun>(&answered->outcome());
  return not_run != nullptr && not_run->reason() == Reason::kNeverArrived;
}

}  // namespace

void AnswerFetches(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick) {
  for (const Received<FetchOutcome>& fetch : inbox.fetches_) {
    AnswerFetch(fetch, tables, tick);
  }
  for (const Received<Acknowledge>& received : inbox.acknowledges_) {
    const AttemptId& id = received.message_.attempt();
    const Execution* row = tables.executions_.Find(id);
    if (row != nullptr && !IsTombstone(*row)) Forget(id, tables.executions_);
  }
}

}  // namespace quetzalline
