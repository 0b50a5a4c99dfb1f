#include "systems/agent/finish_execution.h"

#include "core/overloaded.h"
#include "systems/agent/report_load.h"

namespace quetzalline {
void SendAnswer(const AgentTables& tables, const Execution& row,
                const AttemptOutcome& outcome, AgentTick& tick) {
  Answer answer =
      Answer::Builder()
          .attempt(row.id())
          .outcome(outcome)
          .load(ReportLoad(tables.policy_, tables.limit_, tables.executions_))
          .Build();
  tick.Emit(SendToEntry::Builder()
                .connection(row.connection())
                .message(std::move(answer))
                .Build());
}

void RecordKeyOutcome(const Execution& row, const AttemptOutcome& outcome,
                      KeyTable& keys, AgentTick& tick) {
  if (row.key().empty()) return;
  const KeyId id = KeyId::Builder().caller(row.caller()).key(row.key()).Build();
  const RememberedKey* known = keys.Find(id);
  if (known == nullptr || known->request() != row.id().request()) return;
  if (std::holds_alternative<NotRun>(outcome)) {
    keys.Erase(id);
    return;
  }
  keys.Put(
      id,
      RememberedKey::Builder(*known).outcome(outcome).seen(tick.now()).Build());
}

void FinishExecution(const Execution& row, const AttemptOutcome& outcome,
                     AgentTables& tables, AgentTick& tick) {
  const Execution ended =
      Execution::Builder(row)
          .state(Answered::Builder().at(tick.now()).outcome(outcome).Build())
          .Build();
  tables.executions_.Put(ended);
  RecordKeyOutcome(ended, outcome, tables.keys_, tick);
  const Overloaded count{
      [&](const Done&) { tick.counters().Add(Counter::kAttemptsAnswered); },
      [&](const NotRun& not_run) {
        tick.counters().Add(Counter::kAttemptsRefused, not_run.reason());
      },
      [&](const Unknown& unknown) {
        tick.counters().Add(Counter::kAttemptsAnswered, unknown.reason());
      },
  };
  std::visit(count, outcome);
  SendAnswer(tables, ended, outcome, tick);
}

}  // namespace quetzalline
