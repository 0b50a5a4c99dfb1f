#ifndef QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_
#define QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Queues each submitted attempt or refuses it at once. An attempt is refused
/// if it is not expected to complete within its lease, if its idempotency key
/// is in use, if the agent is drained or leaving, or if a table is full. A
/// repeated frame of a known attempt only sends its outcome again, if there is
/// one.
///
/// When the queue is full, an urgent attempt displaces the newest non-urgent
/// attempt of the caller that has the most of them queued. Otherwise the
/// attempt displaces the newest of the caller with the longest queue of its own
/// class, if that queue is at least two longer than its own caller's; if not,
/// the attempt itself is refused.
void AdmitAttempts(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_
