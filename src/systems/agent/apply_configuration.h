#ifndef QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Applies configuration updates. An update is ignored if it brings no newer
/// revision or if revisions between the applied one and its start are missing.
/// Each heartbeat carries the applied revision, and the entry then sends the
/// missing ones.
void ApplyConfiguration(const AgentInbox& inbox, AgentTables& tables,
                        AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_
