#ifndef QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_
#define QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_

#include <optional>

#include "core/attempt_outcome.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Returns the time at which a request may be retried after an attempt with
/// this outcome, or nullopt if it may not be retried. A retry is safe if the
/// attempt provably did not run, and for an idempotent request also if the
/// endpoint itself ended the exchange. It must fit the request's deadline, its
/// maximum number of attempts and the retry budget shared by all requests.
std::optional<Instant> PlanRetry(const Request& request,
                                 const AttemptOutcome& outcome,
                                 EntryTables& tables, EntryTick& tick);

/// Credits the retry budget for one first attempt, up to the limit of the
/// burst.
void CreditRetryBudget(const EntryPolicy& policy, RetryBudget& budget);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_
