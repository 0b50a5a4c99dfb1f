#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_FLEET_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messages/command_result.h"
#include "standin/memory_worker.h"
#include "support/event_queue.h"
#include "support/fake_endpoint.h"
#include "support/invariant_log.h"
#include "support/virtual_node.h"
#include "support/virtual_store.h"
#include "systems/agent/agent_node.h"
#include "systems/entry/entry_node.h"

namespace quetzalline {

/// Describes a request that a caller sends in virtual time.
struct RequestSpec {
  std::string method_ = "GET";
  std::string target_ = "/quotes/1";
  std::string caller_;
  std::string key_;
  std::optional<Duration> deadline_;
  std::size_t body_bytes_ = 0;
};

/// Simulates entries and agents with their endpoints and workers in virtual
/// time, joined by connections that have latency, stall and break. All random
/// choices are drawn from one seed.
class VirtualFleet {
 public:
  explicit VirtualFleet(std::uint64_t seed);

  std::size_t AddEntry(const EntryPolicy& policy);
  std::size_t AddAgent(const AgentPolicy& policy,
                       const EndpointBehaviour& behaviour);
  /// Writes a service file to the store as another process would.
  void PutService(const ServiceFile& file);
  void RunFor(Duration duration);

  /// Sends a request to an entry.
  RequestId SendRequest(std::size_t entry, const RequestSpec& request_spec);
  /// Closes the caller's connection before the response.
  void DisconnectCaller(std::size_t entry, const RequestId& id);
  /// Sends an operator command and returns its id.
  std::uint64_t Command(std::size_t entry, const quetzalline::Command& command);
  /// Returns the result of a command, or null before it arrives.
  const CommandResult* Result(std::uint64_t command) const;
  /// Returns the outcome of a request, or null before it is answered.
  const AttemptOutcome* Answer(const RequestId& id) const;

  void KillEntry(std::size_t entry);
  void StartEntry(std::size_t entry);
  /// Requests a graceful shutdown.
  void StopEntry(std::size_t entry);
  /// Stalls the process: it handles no input for the given time.
  void StallEntry(std::size_t entry, Duration duration);
  /// Kills the agent's process only; its endpoint and worker keep running.
  void KillAgent(std::size_t agent);
  void StartAgent(std::size_t agent);
  void StopAgent(std::size_t agent);
  void StallAgent(std::size_t agent, Duration duration);
  /// Kills the whole instance with its endpoint and worker; peers get no notice
  /// of the closed connections.
  void KillInstance(std::size_t agent);
  void StartInstance(std::size_t agent);
  /// Makes the current connection drop all messages for good; a new connection
  /// works.
  void StallConnection(std::size_t entry, std::size_t agent);
  /// Starts or ends a network partition between an entry and an agent.
  void SetPartitioned(std::size_t entry, std::size_t agent, bool partitioned);

  EventQueue& events() { return events_; }
  VirtualStore& store() { return store_; }
  InvariantLog& log() { return log_; }
  FakeEndpoint& endpoint(std::size_t agent) {
    return *instances_[agent]->endpoint_;
  }
  MemoryWorker& worker(std::size_t agent) { return instances_[agent]->worker_; }
  bool EntryAlive(std::size_t i) const { return entries_[i]->node_.alive(); }
  bool AgentAlive(std::size_t i) const { return instances_[i]->node_.alive(); }
  const EntryTables& entry(std::size_t i) const {
    return entries_[i]->node_.node().tables();
  }
  const AgentTables& agent(std::size_t i) const {
    return instances_[i]->node_.node().tables();
  }
  std::size_t entries() const { return entries_.size(); }
  std::size_t agents() const { return instances_.size(); }
  /// Returns the entry that holds the cell's leader lease, if there is one.
  std::optional<std::size_t> Holder() const;
  /// Returns the latencies of the requests that were done, from sending to the
  /// complete response, in the order of the responses.
  const std::vector<Duration>& latencies() const { return latencies_; }

 private:
  struct EntryProcess {
    EntryPolicy policy_;
    VirtualNode<EntryNode> node_;
  };
  struct Instance {
    AgentPolicy policy_;
    VirtualNode<AgentNode> node_;
    std::unique_ptr<FakeEndpoint> endpoint_;
    MemoryWorker worker_;
    std::vector<WorkerTaskEvent> ends_;
    bool up_ = true;
  };
  struct Link {
    std::size_t entry_;
    std::size_t agent_;
    bool stalled_ = false;
  };
  using Pair = std::pair<std::size_t, std::size_t>;

  std::uint64_t NextSeed() { return random_(); }
  Duration LatencyBetween(std::size_t entry, std::size_t agent) const;
  bool Passes(const Link& link) const;

  void StartEntryNode(std::size_t entry);
  void StartAgentNode(std::size_t agent);
  void ReportWorkerState(std::size_t agent);
  void DialAll(std::size_t agent);
  void Dial(std::size_t entry, std::size_t agent, std::uint64_t generation);
  void OpenLink(std::size_t entry, std::size_t agent);
  void CloseLink(ConnectionId connection, bool notify_entry, bool notify_agent);
  void CloseAtEntry(ConnectionId connection);
  void CloseLinks(std::optional<std::size_t> entry,
                  std::optional<std::size_t> agent, bool notify_peers);
  void Perform(std::size_t entry, const EntryEffect& effect);
  void Perform(std::size_t agent, const AgentEffect& effect);
  void HandleAnswer(const AnswerCaller& answer);
  void Deliver(ConnectionId connection,
               const std::function<void(const Link&)>& deliver);
  void Deliver(ConnectionId connection, const EntryMessage& message);
  void Deliver(ConnectionId connection, const AgentMessage& message);
  void StartWorkAt(std::size_t agent, const StartWork& start);
  void PollWorker(std::size_t agent);
  void CheckCapacity(const Instance& instance);

  EventQueue events_;
  Random random_;
  VirtualStore store_;
  InvariantLog log_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<ConnectionId, Link> links_;
  std::set<Pair> partitions_;
  std::map<RequestId, Instant> sent_at_;
  std::map<RequestId, AttemptOutcome> answers_;
  std::map<std::uint64_t, CommandResult> results_;
  std::vector<Duration> latencies_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_command_ = 0;
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_FLEET_H_
