#ifndef QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_
#define QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Replies to entries that fetch the outcome of an attempt after a connection
/// was lost, and removes attempts whose outcome an entry has acknowledged. A
/// fetch may cancel an attempt that is still queued. A fetched attempt that
/// never arrived is recorded as refused, so that its submit frame does not run
/// it if the frame arrives after the fetch.
void AnswerFetches(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_ANSWER_FETCHES_H_
