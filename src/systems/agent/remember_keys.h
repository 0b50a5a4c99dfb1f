#ifndef QUETZALLINE_SYSTEMS_AGENT_REMEMBER_KEYS_H_
#define QUETZALLINE_SYSTEMS_AGENT_REMEMBER_KEYS_H_

#include "systems/agent/agent_inbox.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Remembers idempotency keys of requests that run at another endpoint, and
/// tells the entry when another request had brought the key before.
void RememberKeys(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_REMEMBER_KEYS_H_
