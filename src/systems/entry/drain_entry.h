#ifndef QUETZALLINE_SYSTEMS_ENTRY_DRAIN_ENTRY_H_
#define QUETZALLINE_SYSTEMS_ENTRY_DRAIN_ENTRY_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Carries out a planned stop: the health check fails at once, the cell's
/// leader lease is released, callers are served until the load balancer has
/// noticed, and the process ends when no request is open.
void DrainEntry(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_DRAIN_ENTRY_H_
