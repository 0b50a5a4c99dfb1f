#ifndef QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_
#define QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Keeps the links to entries: opens and closes rows with their connections,
/// gives up connections that went silent, and takes over what each reply to a
/// heartbeat says about the cell's epoch and the lease on tasks.
void TrackEntries(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_
