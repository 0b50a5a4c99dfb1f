#ifndef QUETZALLINE_SYSTEMS_ENTRY_WATCH_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_ENTRY_WATCH_CONFIGURATION_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Keeps one watch on the configuration open and puts every newer revision into
/// force. A result that is older than the revision in force has no effect.
void WatchConfiguration(const EntryInbox& inbox, EntryTables& tables,
                        EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_WATCH_CONFIGURATION_H_
