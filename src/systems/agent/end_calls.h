#ifndef QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_
#define QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Turns the ends of calls to the endpoint into outcomes of attempts and
/// measures the time of whole answers.
void EndCalls(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_END_CALLS_H_
