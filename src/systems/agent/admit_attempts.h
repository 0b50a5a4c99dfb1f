#ifndef QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_
#define QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Queues each submitted attempt or refuses it at once. Refused are attempts
/// that cannot end within their lease, attempts beyond the queue's bound, and
/// attempts whose idempotency key is in use. When the queue is full, the least
/// urgent attempt of the caller with the longest queue gives way.
void AdmitAttempts(const AgentInbox& inbox, AgentTables& tables,
                   AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_ADMIT_ATTEMPTS_H_
