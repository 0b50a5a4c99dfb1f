#ifndef QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_
#define QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Assigns free slots to queued attempts. Urgent attempts go first; within a
/// class, the attempt of the caller with the fewest occupied slots goes first,
/// and the earliest arrival decides between equal callers.
void StartExecutions(AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_
