#ifndef QUETZALLINE_TEST_SUPPORT_VIRTUAL_CELL_H_
#define QUETZALLINE_TEST_SUPPORT_VIRTUAL_CELL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "support/event_queue.h"
#include "support/job_invariant_log.h"
#include "support/virtual_kv.h"
#include "support/virtual_node.h"
#include "support/virtual_processor.h"
#include "support/virtual_worker.h"
#include "systems/gateway/gateway_node.h"
#include "systems/runner/runner_node.h"
#include "systems/scheduler/scheduler_node.h"

namespace quetzalline {

/// Simulates a whole cell in virtual time: agents, each with a runner, a
/// scheduler and a worker; entries; the store; and the connections between
/// them. The log checks the cell's guarantees while it runs.
class VirtualCell {
 public:
  VirtualCell(std::size_t agents, std::size_t entries, std::uint64_t seed);

  void RunFor(Duration time) { events_.RunUntil(events_.now() + time); }
  Instant now() const { return events_.now(); }

  /// Submits a job through a random entry, and again after a refusal or an
  /// unknown outcome, up to the given number of tries. Returns its number.
  std::uint64_t Submit(const JobDefinition& definition, int tries = 4);
  /// Submits a job again through an entry, once.
  void Resubmit(std::uint64_t job, std::size_t entry);
  /// Lets the runs of a task crash their workers. Call it before the task's
  /// first start.
  void SetTaskCrash(const TaskKey& task, const TaskCrash& crash);
  void Cancel(std::uint64_t job) { CancelAt(job, 0); }
  /// Submits a job through an entry, once: its caller does not try again.
  std::uint64_t SubmitAt(const JobDefinition& definition, std::size_t entry);
  void CancelAt(std::uint64_t job, std::size_t entry);
  /// Requests the state of a job.
  void QueryJob(std::uint64_t job);

  bool IsAccepted(std::uint64_t job) const { return accepted_.count(job) > 0; }
  /// Returns the last reported state of the job; empty if none was reported, as
  /// for a job that was not found.
  std::optional<JobState> StateOf(std::uint64_t job) const;
  /// Returns true if a reply stated that the job was not found.
  bool IsReportedNotFound(std::uint64_t job) const {
    return not_found_.count(job) > 0;
  }

  /// Returns true if a reply stated that the job was not found although it had
  /// been accepted before the call.
  bool IsAcceptedButNotFound(std::uint64_t job) const {
    return accepted_not_found_.count(job) > 0;
  }

  /// Returns the agent that acts as the holder (of the cell's leader lease)
  /// with the highest epoch, if there is one.
  std::optional<std::size_t> Holder() const;
  const SchedulerTables& scheduler(std::size_t agent) const;
  const RunnerTables& runner(std::size_t agent) const;

  bool IsAlive(std::size_t agent) const {
    return agents_[agent].scheduler_->alive();
  }
  void KillAgent(std::size_t agent);
  void StartAgent(std::size_t agent);
  /// Requests the agent to stop, as at planned work, and kills it if it still
  /// runs after the grace.
  void StopAgent(std::size_t agent,
                 Duration grace = std::chrono::milliseconds(700));
  /// Sets the processor time that the agent's process takes from now on.
  void SetProcessorCost(std::size_t agent, const ProcessorCost& cost) {
    agents_[agent].processor_->SetCost(cost);
  }
  const VirtualProcessor& processor(std::size_t agent) const {
    return *agents_[agent].processor_;
  }
  /// Stalls the agent's process: it handles no input for the given time.
  void StallAgent(std::size_t agent, Duration time);
  void KillEntry(std::size_t entry);
  void StartEntry(std::size_t entry);
  /// Stalls the entry's process.
  void StallEntry(std::size_t entry, Duration time) {
    entries_[entry]->StallUntil(events_.now() + time);
  }
  /// Sets the one-way latency of messages to and from an agent on another
  /// instance.
  void SetLatency(std::size_t agent, Duration latency) {
    agents_[agent].latency_ = latency;
  }
  /// Partitions an agent from all processes on other instances and, with
  /// store_too, from the store; partitioned = false ends the partition.
  void SetAgentPartitioned(std::size_t agent, bool partitioned, bool store_too);
  void CloseConnections(std::size_t agent);
  /// Shuts down the agent's worker, which announces this to its runner.
  void ShutDownWorker(std::size_t agent);
  VirtualWorker& worker(std::size_t agent) { return *agents_[agent].worker_; }
  VirtualKv& kv() { return kv_; }
  JobInvariantLog& log() { return log_; }
  const JobInvariantLog& log() const { return log_; }
  std::size_t agents() const { return agents_.size(); }
  std::size_t entries() const { return entries_.size(); }

 private:
  struct Agent {
    std::unique_ptr<VirtualWorker> worker_;
    /// Shared by the runner and the scheduler.
    std::shared_ptr<VirtualProcessor> processor_;
    std::unique_ptr<VirtualNode<RunnerNode>> runner_;
    std::unique_ptr<VirtualNode<SchedulerNode>> scheduler_;
    /// The members to connect to, each with the number of its dialling loop.
    std::map<MemberName, std::uint64_t> dial_targets_;
    bool partitioned_ = false;
    Duration latency_ = std::chrono::milliseconds(1);
  };
  struct Connection {
    std::size_t scheduler_ = 0;
    MemberName peer_;
    bool stalled_ = false;
    std::uint64_t dial_ = 0;
  };
  struct Call {
    std::uint64_t job_ = 0;
    JobCallKind kind_;
    int tries_ = 0;
    std::size_t entry_ = 0;
    /// True if the job had been accepted when the call was made.
    bool accepted_ = false;
  };

  void Perform(std::size_t agent, const RunnerEffect& effect);
  void Perform(std::size_t agent, const SchedulerEffect& effect);
  void PerformEntry(std::size_t entry, const GatewayEffect& effect);
  void Dial(std::size_t agent, const MemberName& member, std::uint64_t dial);
  void CloseConnection(ConnectionId id);
  void DropPeer(std::size_t agent, const MemberName& member);
  bool IsPartitioned(const Connection& connection) const;
  Duration Latency(const Connection& connection) const;
  void DeliverToPeer(ConnectionId id, const std::function<void()>& deliver);
  void DeliverToHolder(const SendToHolder& sent);
  void Announce(std::size_t agent);
  void Send(const Call& call, std::size_t entry);
  void HandleAnswer(const AnswerJobCall& answer);
  void Retry(const Call& call, Duration delay);
  void FailCalls(std::size_t entry);
  std::optional<std::size_t> AgentOf(const MemberName& member) const;
  std::optional<std::size_t> EntryOf(const MemberName& member) const;

  EventQueue events_;
  Random random_;
  JobInvariantLog log_;
  VirtualKv kv_;
  std::vector<Agent> agents_;
  std::vector<std::unique_ptr<VirtualNode<GatewayNode>>> entries_;
  std::map<ConnectionId, Connection> connections_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_dial_ = 0;
  std::map<std::uint64_t, Shared<JobDefinition>> jobs_;
  std::map<TaskKey, TaskCrash> crashes_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_job_ = 0;
  std::set<std::uint64_t> accepted_;
  std::set<std::uint64_t> not_found_;
  std::set<std::uint64_t> accepted_not_found_;
  std::map<std::uint64_t, JobState> states_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_VIRTUAL_CELL_H_
