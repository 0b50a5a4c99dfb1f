#ifndef QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_
#define QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Sends a heartbeat on every connection on which one is due.
void SendHeartbeats(AgentTables& tables, AgentTick& tick);

/// Makes a heartbeat due on every connection, so that a change of the
/// endpoint's state is announced at once.
void MakeHeartbeatsDue(EntryLinkTable& links, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_SEND_HEARTBEATS_H_
