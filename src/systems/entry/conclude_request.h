#ifndef QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_

#include "core/attempt_outcome.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Answers the caller and forgets the request. Where the request did not run,
/// its idempotency key is released.
void ConcludeRequest(const Request& request, const AttemptOutcome& outcome,
                     EntryTables& tables, EntryTick& tick);

/// Ends an attempt: frees its place in the endpoint's count and notes whether
/// the endpoint failed it. The request is either tried again, where that is
/// safe and within the budgets, or concluded.
void ConcludeAttempt(const Attempt& attempt, const AttemptOutcome& outcome,
                     EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CONCLUDE_REQUEST_H_
