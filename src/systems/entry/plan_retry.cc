#include "systems/entry/plan_retry.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/entry/draw_backoff.h"

namespace quetzalline {
namespace {

constexpr std::int64_t kHundredthsPerRetry = 100;

// Returns true for reasons that do not depend on the endpoint, so that another
// attempt would end the same way.
bool IsFinal(Reason reason) {
  return reason == Reason::kKeyConflict || reason == Reason::kDeadlinePassed ||
         reason == Reason::kCancelled;
}

bool CanRetry(const Request& request, const AttemptOutcome& outcome) {
  return std::visit(
      Overloaded{
          [](const Done&) { return false; },
          [](const NotRun& not_run) { return !IsFinal(not_run.reason()); },
          [&](const Unknown& unknown) {
            return request.idempotent() && request.arrival()->key().empty() &&
                   unknown.reason() == Reason::kEndpointBroke;
          }},
      outcome);
}

bool SpendRetry(RetryBudget& budget) {
  if (budget.hundredths() < kHundredthsPerRetry) return false;
  budget = RetryBudget::Builder(budget)
               .hundredths(budget.hundredths() - kHundredthsPerRetry)
               .Build();
  return true;
}

}  // namespace

void CreditRetryBudget(const EntryPolicy& policy, RetryBudget& budget) {
  const std::int64_t cap = policy.retry_burst() * kHundredthsPerRetry;
  const std::int64_t earned = budget.hundredths() + policy.retry_percent();
  budget =
      RetryBudget::Builder(budget).hundredths(std::min(cap, earned)).Build();
}

std::optional<Instant> PlanRetry(const Request& request,
                                 const AttemptOutcome& outcome,
                                 EntryTables& tables, EntryTick& tick) {
  if (request.abandoned() || !CanRetry(request, outcome)) return std::nullopt;
  if (request.attempts() >= tables.policy_.max_attempts()) return std::nullopt;
  const Duration delay =
      DrawBackoff(tables.policy_, request.attempts(), tick.random());
  const Instant retry = tick.now() + delay;
  if (retry >= request.deadline()) return std::nullopt;
  if (!SpendRetry(tables.retry_budget_)) {
    tick.counters().Add(Counter::kRetriesDenied);
    return std::nullopt;
  }
  tick.counters().Add(Counter::kAttemptsRetried);
  return retry;
}

}  // namespace quetzalline
