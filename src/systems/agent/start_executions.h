#ifndef QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_
#define QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_

#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Gives free slots to queued attempts: urgent ones first, then the caller that
/// holds the fewest slots, then the earliest arrival.
void StartExecutions(AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_START_EXECUTIONS_H_
