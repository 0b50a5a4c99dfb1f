#ifndef QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Sends an attempt for each request that is due. For a request with an
/// idempotency key, the key is first registered in the store; the request is
/// then sent only to the endpoint that is registered for the key.
void RouteRequests(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ROUTE_REQUESTS_H_
