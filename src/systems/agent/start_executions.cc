#include "systems/agent/start_executions.h"

#include <optional>
#include <tuple>

namespace quetzalline {
namespace {

using Queues = ExecutionTable::Queues;

// Returns the next attempt to run from the queues of one class.
std::optional<AttemptId> NextAttempt(const ExecutionTable& executions,
                                     const Queues& queues) {
  std::optional<AttemptId> best;
  std::tuple<std::int32_t, Instant> best_rank;
  for (const auto& [caller, queue] : queues) {
    const std::tuple rank{executions.SlotsUsedBy(caller), queue.begin()->first};
    if (best && rank >= best_rank) continue;
    best = queue.begin()->second;
    best_rank = rank;
  }
  return best;
}

// Returns the next attempt to run; empty if none is queued.
std::optional<AttemptId> NextAttempt(const ExecutionTable& executions) {
  const std::optional<AttemptId> urgent =
      NextAttempt(executions, executions.queues(true));
  return urgent ? urgent : NextAttempt(executions, executions.queues(false));
}

void StartAttempt(const AttemptId& id, ExecutionTable& executions,
                  AgentTick& tick) {
  const Execution row = *executions.Find(id);
  executions.Put(Execution::Builder(row)
                     .state(Running::Builder().since(tick.now()).Build())
                     .Build());
  tick.counters().Add(Counter::kAttemptsStarted);
  tick.Emit(CallEndpoint::Builder()
                .attempt(id)
                .request(row.request())
                .lease(row.lease_end() - tick.now())
                .Build());
}

}  // namespace

void StartExecutions(AgentTables& tables, AgentTick& tick) {
  ExecutionTable& executions = tables.executions_;
  const auto slots = static_cast<std::int32_t>(tables.limit_.slots());
  while (executions.running() < slots) {
    const std::optional<AttemptId> next = NextAttempt(executions);
    if (!next) return;
    StartAttempt(*next, executions, tick);
  }
}

}  // namespace quetzalline
