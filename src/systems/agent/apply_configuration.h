#ifndef QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Puts configuration updates in force. An update that leaves a gap behind the
/// revision in force is ignored; the entry sends what is missing after the
/// next heartbeat.
void ApplyConfiguration(const AgentInbox& inbox, AgentTables& tables,
                        AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_APPLY_CONFIGURATION_H_
