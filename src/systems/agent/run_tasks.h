#ifndef QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_
#define QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Starts and stops task attempts at the worker and reports their progress to
/// the holder, the entry that holds the cell's leader lease. The agent is the
/// authority on the tasks of its instance: it refuses task attempts that exceed
/// the instance's capacity, ignores or refuses commands with a stale epoch or a
/// stale attempt number, and stops every task when the lease on tasks ends.
void RunTasks(const AgentInbox& inbox, AgentTables& tables, AgentTick& tick);

/// Returns true if the event is the end of a task attempt.
bool IsTerminal(const TaskEvent& event);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_RUN_TASKS_H_
