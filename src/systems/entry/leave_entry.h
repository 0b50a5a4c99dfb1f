#ifndef QUETZALLINE_SYSTEMS_ENTRY_LEAVE_ENTRY_H_
#define QUETZALLINE_SYSTEMS_ENTRY_LEAVE_ENTRY_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Carries out the planned stop: the health check fails at once, callers are
/// served until the balancer has noticed, the cell is given up, and the process
/// ends when no request is open.
void LeaveEntry(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_LEAVE_ENTRY_H_
