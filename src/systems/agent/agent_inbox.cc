#include "systems/agent/agent_inbox.h"

#include "core/overloaded.h"

namespace quetzalline {
namespace {

void SortMessage(const EntryMessageReceived& input, AgentInbox& inbox) {
  const ConnectionId from = input.connection();
  std::visit(Overloaded{
                 [&](const Submit& m) {
                   inbox.submits_.push_back({from, m});
                 },
                 [&](const FetchOutcome& m) {
                   inbox.fetches_.push_back({from, m});
                 },
                 [&](const Acknowledge& m) {
                   inbox.acknowledges_.push_back({from, m});
                 },
                 [&](const HeartbeatReply& m) {
                   inbox.heartbeat_replies_.push_back({from, m});
                 },
                 [&](const ConfigurationUpdate& m) {
                   inbox.updates_.push_back({from, m});
                 },
                 [&](const StartTask& m) {
                   inbox.start_tasks_.push_back({from, m});
                 },
                 [&](const StopTask& m) {
                   inbox.stop_tasks_.push_back({from, m});
                 },
                 [&](const AcknowledgeTask& m) {
                   inbox.acknowledge_tasks_.push_back({from, m});
                 },
                 [&](const DrainEndpoint& m) {
                   inbox.drains_.push_back({from, m});
                 },
             },
             input.message());
}

}  // namespace

AgentInbox SortAgentInputs(std::span<const AgentInput> inputs) {
  AgentInbox inbox;
  const Overloaded sort{
      [&](const ConnectionOpened& i) {
        inbox.opened_.push_back(i.connection());
      },
      [&](const ConnectionClosed& i) {
        inbox.closed_.push_back(i.connection());
      },
      [&](const EntryMessageReceived& i) { SortMessage(i, inbox); },
      [&](const CallEnded& i) { inbox.calls_ended_.push_back(i); },
      [&](const WorkerTaskFound& i) { inbox.worker_found_.push_back(i); },
      [&](const WorkerTasksListed&) { inbox.worker_listed_ = true; },
      [&](const WorkerTaskEvent& i) { inbox.worker_task_events_.push_back(i); },
      [&](const StopRequested&) { inbox.stop_requested_ = true; },
  };
  for (const AgentInput& input : inputs) std::visit(sort, input);
  return inbox;
}

}  // namespace quetzalline
