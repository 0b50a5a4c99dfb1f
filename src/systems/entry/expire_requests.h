#ifndef QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Answers requests whose deadline has passed. A request that was never sent
/// did not run. For one that was sent, proof that it did not run is awaited for
/// a grace period, after which its outcome is unknown.
void ExpireRequests(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_
