#ifndef QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Sends an attempt for each request that may be tried now. A request with an
/// idempotency key first has the key registered in the store, and then goes to
/// the one endpoint that is registered for it.
void RouteRequests(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_
