#ifndef QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_
#define QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Completes running attempts whose call to the endpoint has ended, and updates
/// the smoothed service time with the duration of each completed call.
void EndCalls(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_
