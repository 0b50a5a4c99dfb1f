#include "systems/agent/end_calls.h"

#include "core/overloaded.h"
#include "systems/agent/conclude_execution.h"

namespace quetzalline {
namespace {

// Share of the newest call in the smoothed service time.
constexpr std::int64_t kSmoothing = 8;

AttemptOutcome OutcomeOf(const CallResult& result) {
  return std::visit(
      Overloaded{[](const CallCompleted& call) -> AttemptOutcome {
                   return Done::Builder().response(call.response()).Build();
                 },
                 [](const CallNotSent&) -> AttemptOutcome {
                   return NotRun::Builder()
                       .reason(Reason::kEndpointUnreachable)
                       .Build();
                 },
                 [](const CallBroken& call) -> AttemptOutcome {
                   return Unknown::Builder().reason(call.reason()).Build();
                 }},
      result);
}

void Measure(Duration took, ConcurrencyLimit& limit) {
  const Duration old = limit.service_time();
  const Duration smoothed =
      old == Duration::zero() ? took : old + (took - old) / kSmoothing;
  limit = ConcurrencyLimit::Builder(limit).service_time(smoothed).Build();
}

}  // namespace

void EndCalls(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick) {
  for (const CallEnded& ended : inbox.calls_ended_) {
    const Execution* row = tables.executions_.Find(ended.attempt());
    if (row == nullptr) continue;
    const auto* running = std::get_if<Running>(&row->state());
    if (running == nullptr) continue;
    if (std::holds_alternative<CallCompleted>(ended.result())) {
      Measure(tick.now() - running->since(), tables.limit_);
    }
    ConcludeExecution(*row, OutcomeOf(ended.result()), tables, tick);
  }
}

}  // namespace quetzalline
