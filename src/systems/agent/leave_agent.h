#ifndef QUETZALLINE_SYSTEMS_AGENT_LEAVE_AGENT_H_
#define QUETZALLINE_SYSTEMS_AGENT_LEAVE_AGENT_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Carries out drains and the planned stop: the endpoint takes no new work from
/// now on, tasks are checkpointed and stopped, and the process ends once every
/// attempt is answered and every answer and report was acknowledged.
void LeaveAgent(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_LEAVE_AGENT_H_
