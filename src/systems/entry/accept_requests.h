#ifndef QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Assigns each new request its service, deadline and urgency, or refuses it,
/// and abandons requests whose callers have disconnected.
void AcceptRequests(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_
