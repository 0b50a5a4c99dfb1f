#ifndef QUETZALLINE_SYSTEMS_AGENT_HANDLE_CALL_RESULTS_H_
#define QUETZALLINE_SYSTEMS_AGENT_HANDLE_CALL_RESULTS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Finishes running attempts whose call to the endpoint has ended, and updates
/// the smoothed service time with the duration of each completed call.
void HandleCallResults(const AgentInbox& inbox, AgentTables& tables,
                       AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_HANDLE_CALL_RESULTS_H_
