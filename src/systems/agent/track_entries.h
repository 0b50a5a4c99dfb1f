#ifndef QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_
#define QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Maintains the table of connections to entries. Closes connections on which
/// no heartbeat reply arrived for AgentPolicy::entry_silence, and applies the
/// cell epoch and the lease on tasks that each heartbeat reply carries.
void TrackEntries(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_TRACK_ENTRIES_H_
