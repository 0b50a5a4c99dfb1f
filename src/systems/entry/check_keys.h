#ifndef QUETZALLINE_SYSTEMS_ENTRY_CHECK_KEYS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CHECK_KEYS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Takes in whether a second agent remembers each request's idempotency key.
/// A request whose witness does not reply in time is refused: nothing of it
/// was sent to an endpoint.
void CheckKeys(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CHECK_KEYS_H_
