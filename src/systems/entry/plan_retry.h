#ifndef QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_
#define QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_

#include <optional>

#include "core/attempt_outcome.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// When a request whose attempt ended so may be tried again; empty where it
/// may not. A second attempt is safe where the first provably did not run, and
/// for an idempotent request also where the endpoint itself ended the exchange.
/// It must fit the request's deadline, its number of attempts and the budget of
/// retries over all requests.
std::optional<Instant> PlanRetry(const Request& request,
                                 const AttemptOutcome& outcome,
                                 EntryTables& tables, EntryTick& tick);

/// Adds to the budget what one first attempt earns.
void EarnRetry(const EntryPolicy& policy, RetryBudget& budget);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_PLAN_RETRY_H_
