#ifndef QUETZALLINE_SYSTEMS_AGENT_CONCLUDE_EXECUTION_H_
#define QUETZALLINE_SYSTEMS_AGENT_CONCLUDE_EXECUTION_H_

#include "core/attempt_outcome.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Sends the outcome of an attempt to the entry by the connection by which the
/// entry last spoke of it.
void SendAnswer(const AgentTables& tables, const Execution& row,
                const AttemptOutcome& outcome, AgentTick& tick);

/// Ends an attempt: its outcome is kept until it is acknowledged, sent to the
/// entry, and remembered under the attempt's idempotency key.
void ConcludeExecution(const Execution& row, const AttemptOutcome& outcome,
                       AgentTables& tables, AgentTick& tick);

/// Records the outcome under the attempt's idempotency key. A key whose request
/// did not run is free again.
void RememberOutcome(const Execution& row, const AttemptOutcome& outcome,
                     KeyTable& keys, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_CONCLUDE_EXECUTION_H_
