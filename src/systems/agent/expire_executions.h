#ifndef QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_
#define QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Ends what is overdue: queued attempts whose lease is over are refused,
/// running ones are abandoned, slots of abandoned calls become free after a
/// hold, and answers and keys are forgotten after their retention.
void ExpireExecutions(AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_EXPIRE_EXECUTIONS_H_
