#include "systems/agent/answer_fetches.h"

#include "core/overloaded.h"
#include "systems/agent/finish_execution.h"

namespace quetzalline {
namespace {

// Records and sends a refusal for an attempt that never arrived. The stored
// refusal keeps a late submit frame from running the attempt.
void RefuseMissingAttempt(const Received<FetchOutcome>& fetch,
                          AgentTables& tables, AgentTick& tick) {
  const Execution row = Execution::Builder()
                            .id(fetch.message_.attempt())
                            .connection(fetch.connection_)
                            .Build();
  const NotRun refusal =
      NotRun::Builder().reason(Reason::kNeverArrived).Build();
  FinishExecution(row, refusal, tables, tick);
}

// Replies to a fetch over its own connection, which replaces the one stored
// with the attempt. An attempt that is running, or queued and not cancelled, is
// answered later, once its outcome is known.
void AnswerFetch(const Received<FetchOutcome>& fetch, AgentTables& tables,
                 AgentTick& tick) {
  tick.counters().Add(Counter::kFetchesAnswered);
  const Execution* known = tables.executions_.Find(fetch.message_.attempt());
  if (known == nullptr) return RefuseMissingAttempt(fetch, tables, tick);
  const Execution row =
      Execution::Builder(*known).connection(fetch.connection_).Build();
  tables.executions_.Put(row);
  const Overloaded answer{
      [&](const Queued&) {
        if (!fetch.message_.cancel()) return;
        const NotRun cancelled =
            NotRun::Builder().reason(Reason::kCancelled).Build();
        FinishExecution(row, cancelled, tables, tick);
      },
      [](const Running&) {},
      [&](const Abandoned&) {
        const Unknown lease_lapsed =
            Unknown::Builder().reason(Reason::kLeaseLapsed).Build();
        SendAnswer(tables, row, lease_lapsed, tick);
      },
      [&](const Answered& answered) {
        SendAnswer(tables, row, answered.outcome(), tick);
      },
  };
  std::visit(answer, row.state());
}

// Removes an attempt whose outcome was acknowledged. An abandoned attempt still
// occupies a slot; it is only marked and removed when the slot becomes free.
void Remove(const AttemptId& id, ExecutionTable& executions) {
  const Execution* row = executions.Find(id);
  if (row == nullptr) return;
  if (std::holds_alternative<Answered>(row->state())) {
    executions.Erase(id);
    return;
  }
  if (const auto* abandoned = std::get_if<Abandoned>(&row->state())) {
    const Abandoned marked =
        Abandoned::Builder(*abandoned).acknowledged(true).Build();
    executions.Put(Execution::Builder(*row).state(marked).Build());
  }
}

// Returns true if the row refuses an attempt that never arrived. Such a row
// stays for the whole retention time even if it is acknowledged, because it
// keeps a late submit frame from running the attempt.
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
    if (row != nullptr && !IsTombstone(*row)) Remove(id, tables.executions_);
  }
}

}  // namespace quetzalline
