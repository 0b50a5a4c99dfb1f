#include "systems/entry/handle_answers.h"

#include "core/answer_bytes.h"
#include "systems/entry/conclude_request.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

// Charges an answer from another region to the budget of the paid link, which
// covers answers as well as requests.
void ChargeLinkBudget(const Endpoint& row, const AttemptOutcome& outcome,
                      EntryTables& tables, EntryTick& tick) {
  const Region& region = row.announced()->location().region();
  if (region == tables.policy_.location().region()) return;
  const std::int64_t bytes = AnswerBytes(outcome);
  tick.counters().Add(Counter::kCrossRegionBytes, bytes);
  tables.link_budget_ = LinkBudget::Builder(tables.link_budget_)
                            .bytes(tables.link_budget_.bytes() - bytes)
                            .Build();
}

void UpdateLoad(const Attempt& attempt, const Answer& answer,
                EntryTables& tables, EntryTick& tick) {
  const Endpoint* row = tables.endpoints_.Find(attempt.endpoint());
  if (row == nullptr) return;
  if (row->announced()->incarnation() != attempt.incarnation()) return;
  const Endpoint updated = Endpoint::Builder(*row)
                               .load(answer.load())
                               .load_at(tick.now())
                               .sent_since_report(0)
                               .Build();
  tables.endpoints_.Put(updated);
  ChargeLinkBudget(updated, answer.outcome(), tables, tick);
}

void HandleAnswer(const Received<Answer>& received, EntryTables& tables,
                  EntryTick& tick) {
  const Answer& answer = received.message_;
  SendMessage(received.connection_,
              Acknowledge::Builder().attempt(answer.attempt()).Build(), tick);
  const Attempt* row = tables.attempts_.Find(answer.attempt());
  if (row == nullptr) {
    tick.counters().Add(Counter::kAnswersUnexpected);
    return;
  }
  const Attempt attempt = *row;
  UpdateLoad(attempt, answer, tables, tick);
  ConcludeAttempt(attempt, answer.outcome(), tables, tick);
}

}  // namespace

void HandleAnswers(const EntryInbox& inbox, EntryTables& tables,
                   EntryTick& tick) {
  for (const Received<Answer>& received : inbox.answers_) {
    HandleAnswer(received, tables, tick);
  }
}

}  // namespace quetzalline
