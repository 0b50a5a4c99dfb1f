#ifndef QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Gives each new request its service, deadline and class, or refuses it, and
/// drops requests whose callers have gone.
void AcceptRequests(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_ACCEPT_REQUESTS_H_
