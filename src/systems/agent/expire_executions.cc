#include "systems/agent/expire_executions.h"

#include "core/overloaded.h"
#include "systems/agent/finish_execution.h"

namespace quetzalline {
namespace {

Unknown LeaseLapsed() {
  return Unknown::Builder().reason(Reason::kLeaseLapsed).Build();
}

// Gives up the call of a running attempt and reports its outcome as unknown.
// The attempt occupies its slot for a while longer, because the endpoint may
// still be working on the request.
void AbandonExecution(const Execution& row, AgentTables& tables,
                      AgentTick& tick) {
  const Instant until = tick.now() + tables.policy_.abandoned_slot_hold();
  tables.executions_.Put(Execution::Builder(row)
                             .state(Abandoned::Builder().until(until).Build())
                             .Build());
  RecordKeyOutcome(row, LeaseLapsed(), tables.keys_, tick);
  tick.counters().Add(Counter::kAttemptsAbandoned);
  tick.Emit(AbandonCall::Builder().attempt(row.id()).Build());
  SendAnswer(tables, row, LeaseLapsed(), tick);
}

void HandleLeaseEnd(const Execution& row, AgentTables& tables,
                    AgentTick& tick) {
  const Overloaded end{
      [&](const Queued&) {
        const NotRun expired =
            NotRun::Builder().reason(Reason::kDeadlinePassed).Build();
        FinishExecution(row, expired, tables, tick);
      },
      [&](const Running&) { AbandonExecution(row, tables, tick); },
      [](const Abandoned&) {},
      [](const Answered&) {},
  };
  std::visit(end, row.state());
}

// Frees the slot of an abandoned attempt. An acknowledged attempt is removed;
// the outcome of any other stays available to the entry.
void ReleaseHeldSlot(const Execution& row, AgentTables& tables,
                     AgentTick& tick) {
  const auto* abandoned = std::get_if<Abandoned>(&row.state());
  if (abandoned == nullptr) return;
  if (abandoned->acknowledged()) {
    tables.executions_.Erase(row.id());
    return;
  }
  tables.executions_.Put(
      Execution::Builder(row)
          .state(
              Answered::Builder().at(tick.now()).outcome(LeaseLapsed()).Build())
          .Build());
}

}  // namespace

void ExpireExecutions(AgentTables& tables, AgentTick& tick) {
  ExecutionTable& executions = tables.executions_;
  for (const AttemptId& id : executions.LeaseEnded(tick.now())) {
    const Execution row = *executions.Find(id);
    HandleLeaseEnd(row, tables, tick);
  }
  for (const AttemptId& id : executions.SlotHoldEnded(tick.now())) {
    const Execution row = *executions.Find(id);
    ReleaseHeldSlot(row, tables, tick);
  }
  const Duration retention = tables.policy_.answer_retention();
  for (const AttemptId& id : executions.AnsweredBy(tick.now() - retention)) {
    executions.Erase(id);
  }
  const Duration key_retention = tables.policy_.key_retention();
  for (const KeyId& id : tables.keys_.SeenBy(tick.now() - key_retention)) {
    tables.keys_.Erase(id);
  }
  tick.WakeAt(executions.NextLeaseEnd());
  tick.WakeAt(executions.NextSlotHoldEnd());
  if (executions.OldestAnswer()) {
    tick.WakeAt(*executions.OldestAnswer() + retention);
  }
  if (tables.keys_.OldestSeen()) {
    tick.WakeAt(*tables.keys_.OldestSeen() + key_retention);
  }
}

}  // namespace quetzalline
