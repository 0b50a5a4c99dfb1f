#ifndef QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_

#include "core/attempt_outcome.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Answers the caller and removes the request. If the request did not run, its
/// idempotency key is released.
void ConcludeRequest(const Request& request, const AttemptOutcome& outcome,
                     EntryTables& tables, EntryTick& tick);

/// Ends an attempt: removes it from the endpoint's count of outstanding
/// attempts and records whether the endpoint failed it. The request is retried
/// if that is safe and within its limits (see PlanRetry); otherwise it is
/// concluded.
void ConcludeAttempt(const Attempt& attempt, const AttemptOutcome& outcome,
                     EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_
