#include "systems/agent/agent_node.h"

#include "systems/agent/admit_attempts.h"
#include "systems/agent/agent_inbox.h"
#include "systems/agent/answer_fetches.h"
#include "systems/agent/apply_configuration.h"
#include "systems/agent/drain_agent.h"
#include "systems/agent/expire_executions.h"
#include "systems/agent/handle_call_results.h"
#include "systems/agent/run_tasks.h"
#include "systems/agent/send_heartbeats.h"
#include "systems/agent/start_executions.h"
#include "systems/agent/track_entries.h"

namespace quetzalline {
AgentNode::AgentNode(const AgentPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
  tables_.limit_ = ConcurrencyLimit::Builder().slots(policy.slots()).Build();
}

std::vector<AgentEffect> AgentNode::RunTick(
    Instant now, std::span<const AgentInput> inputs) {
  const AgentInbox inbox = SortAgentInputs(inputs);
  AgentTick tick(now, random_, tables_.counters_);
  TrackEntries(inbox, tables_, tick);
  ApplyConfiguration(inbox, tables_, tick);
  HandleCallResults(inbox, tables_, tick);
  AnswerFetches(inbox, tables_, tick);
  AdmitAttempts(inbox, tables_, tick);
  ExpireExecutions(tables_, tick);
  StartExecutions(tables_, tick);
  RunTasks(inbox, tables_, tick);
  DrainAgent(inbox, tables_, tick);
  SendHeartbeats(tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
