#ifndef QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_
#define QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Starts and stops task attempts at the worker. The agent is the authority on
/// what its instance holds: it refuses what does not fit, lower epochs and
/// lower attempts, and it stops every task when the lease on tasks is over.
void RunTasks(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

/// Whether the news ends a task attempt.
bool IsTerminal(const TaskEvent& news);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_
