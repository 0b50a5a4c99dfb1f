#ifndef QUETZALLINE_SYSTEMS_AGENT_DRAIN_AGENT_H_
#define QUETZALLINE_SYSTEMS_AGENT_DRAIN_AGENT_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Handles drain commands and the graceful shutdown. A drained or leaving
/// endpoint accepts no new work, and its tasks are checkpointed and stopped. On
/// shutdown the process ends once every attempt is answered, every answer of an
/// attempt that may have run is acknowledged or past its retention time, and
/// the end of every task is acknowledged. A drain can be undone; a shutdown
/// cannot.
void DrainAgent(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_DRAIN_AGENT_H_
