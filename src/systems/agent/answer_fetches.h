#ifndef QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_
#define QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Answers entries that ask for attempts after a connection was lost, and
/// forgets what they acknowledge. An attempt that never arrived is refused for
/// good, so that its frame changes nothing should it still come.
void AnswerFetches(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_
