#ifndef QUETZALLINE_SYSTEMS_AGENT_AGENT_INBOX_H_
#define QUETZALLINE_SYSTEMS_AGENT_AGENT_INBOX_H_

#include <span>
#include <vector>

#include "core/ids.h"
#include "messages/agent_input.h"
#include "systems/received.h"

namespace quetzalline {

/// Holds the inputs of one tick, sorted by kind and in order of arrival.
struct AgentInbox {
  std::vector<ConnectionId> opened_;
  std::vector<ConnectionId> closed_;
  std::vector<Received<Submit>> submits_;
  std::vector<Received<FetchOutcome>> fetches_;
  std::vector<Received<Acknowledge>> acknowledges_;
  std::vector<Received<HeartbeatReply>> heartbeat_replies_;
  std::vector<Received<ConfigurationUpdate>> updates_;
  std::vector<Received<StartTask>> start_tasks_;
  std::vector<Received<StopTask>> stop_tasks_;
  std::vector<Received<AcknowledgeTask>> acknowledge_tasks_;
  std::vector<Received<DrainEndpoint>> drains_;
  std::vector<CallEnded> calls_ended_;
  std::vector<WorkerTaskFound> worker_found_;
  std::vector<WorkerTaskEvent> worker_task_events_;
  bool worker_listed_ = false;
  bool stop_requested_ = false;
};

/// Sorts the inputs of one tick by kind.
AgentInbox SortAgentInputs(std::span<const AgentInput> inputs);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_AGENT_INBOX_H_
