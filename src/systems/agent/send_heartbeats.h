#ifndef QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_
#define QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Announces the endpoint on every link whose heartbeat is due.
void SendHeartbeats(AgentTables& tables, AgentTick& tick);

/// Makes a heartbeat due on every link, so that a change of state is known at
/// once.
void HurryHeartbeats(EntryLinkTable& links, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_
