#ifndef QUETZALLINE_SYSTEMS_AGENT_FINISH_EXECUTION_H_
#define QUETZALLINE_SYSTEMS_AGENT_FINISH_EXECUTION_H_

#include "core/attempt_outcome.h"
#include "systems/agent/agent_tick.h"
#include "tables/agent_tables.h"

namespace quetzalline {

/// Sends the outcome of an attempt and the agent's load to the entry, over the
/// connection on which the entry submitted or last fetched the attempt.
void SendAnswer(const AgentTables& tables, const Execution& row,
                const AttemptOutcome& outcome, AgentTick& tick);

/// Finishes an attempt: stores its outcome until the entry acknowledges it or
/// the retention time ends, records it under the attempt's idempotency key,
/// counts it and sends it to the entry. The refusal of an attempt that never
/// arrived is stored for the whole retention time.
void FinishExecution(const Execution& row, const AttemptOutcome& outcome,
                     AgentTables& tables, AgentTick& tick);

/// Records the outcome under the attempt's idempotency key. If the request did
/// not run, the key is removed and may be used again. Does nothing if the key
/// belongs to another request.
void RecordKeyOutcome(const Execution& row, const AttemptOutcome& outcome,
                      KeyTable& keys, AgentTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_FINISH_EXECUTION_H_
