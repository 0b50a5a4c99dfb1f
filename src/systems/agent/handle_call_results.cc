#include "systems/agent/handle_call_results.h"

#include "core/overloaded.h"
#include "systems/agent/finish_execution.h"

namespace quetzalline {
namespace {

// The newest call contributes 1/8 to the smoothed service time.
constexpr std::int64_t kServiceTimeSmoothing = 8;

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

// Adds the duration of a completed call to the smoothed service time, an
// exponentially weighted moving average.
void UpdateServiceTime(Duration call_duration, ConcurrencyLimit& limit) {
  const Duration previous = limit.service_time();
  const Duration smoothed =
      previous == Duration::zero()
          ? call_duration
          : previous + (call_duration - previous) / kServiceTimeSmoothing;
  limit = ConcurrencyLimit::Builder(limit).service_time(smoothed).Build();
}

}  // namespace

void HandleCallResults(const AgentInbox& inbox, AgentTables& tables,
                       AgentTick& tick) {
  for (const CallEnded& ended : inbox.calls_ended_) {
    const Execution* row = tables.executions_.Find(ended.attempt());
    if (row == nullptr) continue;
    const auto* running = std::get_if<Running>(&row->state());
    if (running == nullptr) continue;
    if (std::holds_alternative<CallCompleted>(ended.result())) {
      UpdateServiceTime(tick.now() - running->since(), tables.limit_);
    }
    FinishExecution(*row, OutcomeOf(ended.result()), tables, tick);
  }
}

}  // namespace quetzalline
