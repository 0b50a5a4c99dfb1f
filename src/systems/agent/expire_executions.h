#ifndef QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_
#define QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Handles timeouts of attempts. When its lease ends, a queued attempt is
/// refused and a running one abandoned. The slot of an abandoned call becomes
/// free after AgentPolicy::abandoned_slot_hold. Answers and idempotency keys
/// are removed after their retention times.
void ExpireExecutions(AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_
