#include "support/virtual_cell.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"

namespace quetzalline {
namespace {

constexpr Duration kOneWayLatency = std::chrono::milliseconds(1);
constexpr Duration kRedialDelay = std::chrono::milliseconds(200);
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(1500);
constexpr Duration kCallerRetryDelay = std::chrono::milliseconds(700);
constexpr std::uint64_t kFirstJob = 0x5c0e7a2100000000ULL;

// Prints the decisions of every node to stderr if QUETZALLINE_TRACE is set.
void Trace(Instant now, const std::string& node_name, const LogDecision& e) {
  static const bool on = std::getenv("QUETZALLINE_TRACE") != nullptr;
  if (!on) return;
  std::string line = std::to_string(now.time_since_epoch().count() / 1000) +
                     " " + node_name + " " + e.event();
  if (e.job() != 0) line += " " + FormatJobId(e.job());
  for (const LogField& f : e.fields()) line += " " + f.name() + "=" + f.value();
  std::fprintf(stderr, "%s\n", line.c_str());
}

MemberName AgentName(std::size_t agent) {
  return MemberName("agent-" + std::to_string(agent));
}
MemberName EntryName(std::size_t entry) {
  return MemberName("entry-" + std::to_string(entry));
}

}  // namespace

VirtualCell::VirtualCell(std::size_t agents, std::size_t entries,
                         std::uint64_t seed)
    : random_(seed), kv_(events_, seed + 1) {
  kv_.Put(std::string(kConfigurationKey),
          SchedulerConfiguration::Builder()
              .version(1)
              .queues({JobQueue::Builder()
                           .name("queue")
                           .host("jobs.example")
                           .prefix("/queue/")
                           .service(ServiceName("service"))
                           .max_attempts(kMaxAttempts)
                           .stretch(2.0)
                           .objective(std::chrono::seconds(1))
                           .Build()})
              .services({ServiceName("service")})
              .Build());
  agents_.resize(agents);
  for (std::size_t i = 0; i < agents; ++i) {
    Agent& agent = agents_[i];
    agent.worker_ = std::make_unique<VirtualWorker>(
        events_, log_, "worker-" + std::to_string(i),
        [this](const TaskKey& task) {
          return jobs_.at(task.job())
              ->steps()[static_cast<std::size_t>(task.step())];
        },
        [this](const TaskKey& task) -> std::optional<TaskCrash> {
          const auto found = crashes_.find(task);
          if (found == crashes_.end()) return std::nullopt;
          return found->second;
        },
        seed * 31 + i);
    agent.processor_ = std::make_shared<VirtualProcessor>();
    agent.runner_ = std::make_unique<VirtualNode<RunnerNode>>(
        events_, [this, i](const RunnerEffect& effect) { Perform(i, effect); },
        agent.processor_);
    agent.scheduler_ = std::make_unique<VirtualNode<SchedulerNode>>(
        events_,
        [this, i](const SchedulerEffect& effect) { Perform(i, effect); },
        agent.processor_);
    StartAgent(i);
    Announce(i);
  }
  for (std::size_t i = 0; i < entries; ++i) {
    entries_.push_back(std::make_unique<VirtualNode<GatewayNode>>(
        events_,
        [this, i](const GatewayEffect& effect) { PerformEntry(i, effect); }));
    StartEntry(i);
  }
}

void VirtualCell::StartAgent(std::size_t agent) {
  Agent& row = agents_[agent];
  if (row.runner_->alive()) return;
  const std::uint64_t incarnation = ++last_incarnation_;
  row.runner_->Start(RunnerNode(RunnerPolicy::Builder()
                                    .member(AgentName(agent))
                                    .incarnation(incarnation)
                                    .address(AgentName(agent).value())
                                    .Build(),
                                incarnation));
  row.scheduler_->Start(SchedulerNode(SchedulerPolicy::Builder()
                                          .member(AgentName(agent))
                                          .incarnation(incarnation)
                                          .Build(),
                                      incarnation));
}

void VirtualCell::KillAgent(std::size_t agent) {
  Agent& row = agents_[agent];
  row.runner_->Kill();
  row.scheduler_->Kill();
  row.dial_targets_.clear();
  CloseConnections(agent);
}

void VirtualCell::StopAgent(std::size_t agent, Duration grace) {
  const Agent& row = agents_[agent];
  if (!row.scheduler_->alive()) return;
  agents_[agent].scheduler_->Post(StopRequested());
  events_.After(grace,
                [this, agent, generation = row.scheduler_->generation()] {
                  if (agents_[agent].scheduler_->generation() == generation)
                    KillAgent(agent);
                });
}

void VirtualCell::StallAgent(std::size_t agent, Duration time) {
  agents_[agent].runner_->StallUntil(events_.now() + time);
  agents_[agent].scheduler_->StallUntil(events_.now() + time);
}

void VirtualCell::StartEntry(std::size_t entry) {
  if (entries_[entry]->alive()) return;
  const std::uint64_t incarnation = ++last_incarnation_;
  entries_[entry]->Start(GatewayNode(GatewayPolicy::Builder()
                                         .member(EntryName(entry))
                                         .incarnation(incarnation)
                                         .address(EntryName(entry).value())
                                         .Build(),
                                     incarnation));
}

void VirtualCell::KillEntry(std::size_t entry) {
  entries_[entry]->Kill();
  FailCalls(entry);
  std::vector<ConnectionId> lost;
  for (const auto& [id, connection] : connections_) {
    if (connection.peer_ == EntryName(entry)) lost.push_back(id);
  }
  for (const ConnectionId id : lost) CloseConnection(id);
}

void VirtualCell::SetAgentPartitioned(std::size_t agent, bool partitioned,
                                      bool store_too) {
  agents_[agent].partitioned_ = partitioned;
  kv_.RejectCaller(AgentName(agent).value(), partitioned && store_too);
}

void VirtualCell::ShutDownWorker(std::size_t agent) {
  VirtualWorker& worker = *agents_[agent].worker_;
  const std::string name = worker.Announce().facts().worker();
  worker.Crash();
  agents_[agent].runner_->Post(WorkerLeft::Builder().worker(name).Build());
}

void VirtualCell::CloseConnections(std::size_t agent) {
  std::vector<ConnectionId> lost;
  for (const auto& [id, connection] : connections_) {
    if (connection.scheduler_ == agent ||
        connection.peer_ == AgentName(agent)) {
      lost.push_back(id);
    }
  }
  for (const ConnectionId id : lost) CloseConnection(id);
}

std::optional<std::size_t> VirtualCell::AgentOf(
    const MemberName& member) const {
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    if (AgentName(i) == member) return i;
  }
  return std::nullopt;
}

std::optional<std::size_t> VirtualCell::EntryOf(
    const MemberName& member) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (EntryName(i) == member) return i;
  }
  return std::nullopt;
}

// A partitioned agent still reaches the runner on its own instance.
bool VirtualCell::IsPartitioned(const Connection& connection) const {
  const auto peer = AgentOf(connection.peer_);
  if (peer == connection.scheduler_) return false;
  return agents_[connection.scheduler_].partitioned_ ||
         (peer && agents_[*peer].partitioned_);
}

Duration VirtualCell::Latency(const Connection& connection) const {
  const Duration latency = agents_[connection.scheduler_].latency_;
  const auto peer = AgentOf(connection.peer_);
  if (!peer) return latency;
  if (*peer == connection.scheduler_) return kOneWayLatency;
  return std::max(latency, agents_[*peer].latency_);
}

// Delivers after the one-way latency. A message sent into a partition is lost,
// and the connection delivers nothing from then on.
void VirtualCell::DeliverToPeer(ConnectionId id,
                                const std::function<void()>& deliver) {
  const auto open = connections_.find(id);
  if (open == connections_.end()) return;
  events_.After(Latency(open->second), [this, id, deliver] {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    if (IsPartitioned(found->second)) found->second.stalled_ = true;
    if (!found->second.stalled_) deliver();
  });
}

void VirtualCell::DeliverToHolder(const SendToHolder& sent) {
  const auto found = connections_.find(sent.connection());
  if (found == connections_.end()) return;
  const std::size_t holder = found->second.scheduler_;
  DeliverToPeer(sent.connection(), [this, holder, sent] {
    agents_[holder].scheduler_->Post(HolderMessageReceived::Builder()
                                         .connection(sent.connection())
                                         .message(sent.message())
                                         .Build());
  });
}

void VirtualCell::CloseConnection(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection connection = found->second;
  connections_.erase(found);
  const ConnectionClosed closed =
      ConnectionClosed::Builder().connection(id).Build();
  agents_[connection.scheduler_].scheduler_->Post(closed);
  if (const auto agent = AgentOf(connection.peer_)) {
    agents_[*agent].runner_->Post(closed);
  }
  if (const auto entry = EntryOf(connection.peer_)) {
    entries_[*entry]->Post(closed);
  }
  events_.After(kRedialDelay, [this, connection] {
    Dial(connection.scheduler_, connection.peer_, connection.dial_);
  });
}

void VirtualCell::DropPeer(std::size_t agent, const MemberName& member) {
  agents_[agent].dial_targets_.erase(member);
  std::vector<ConnectionId> open;
  for (const auto& [id, connection] : connections_) {
    if (connection.scheduler_ == agent && connection.peer_ == member) {
      open.push_back(id);
    }
  }
  for (const ConnectionId id : open) CloseConnection(id);
}

// Dials until it succeeds, unless the member was dropped. A member that was
// dropped and added again has a new loop.
void VirtualCell::Dial(std::size_t agent, const MemberName& member,
                       std::uint64_t dial) {
  Agent& row = agents_[agent];
  const auto target = row.dial_targets_.find(member);
  if (target == row.dial_targets_.end() || target->second != dial) return;
  if (!row.scheduler_->alive()) return;
  const Connection connection{agent, member, false, dial};
  const auto peer = AgentOf(member);
  const auto entry = EntryOf(member);
  const bool alive = (peer && agents_[*peer].runner_->alive()) ||
                     (entry && entries_[*entry]->alive());
  if (!alive || IsPartitioned(connection)) {
    events_.After(kRedialDelay,
                  [this, agent, member, dial] { Dial(agent, member, dial); });
    return;
  }
  const ConnectionId id(++last_connection_);
  connections_[id] = connection;
  const ConnectionOpened opened =
      ConnectionOpened::Builder().connection(id).Build();
  if (peer) agents_[*peer].runner_->Post(opened);
  if (entry) entries_[*entry]->Post(opened);
  row.scheduler_->Post(
      PeerConnected::Builder().connection(id).member(member).Build());
}

void VirtualCell::Perform(std::size_t agent, const RunnerEffect& effect) {
  const std::uint64_t generation = agents_[agent].runner_->generation();
  const auto post = [this, agent, generation](const auto& input) {
    VirtualNode<RunnerNode>& node = *agents_[agent].runner_;
    if (node.generation() == generation) node.Post(input);
  };
  const std::string name = AgentName(agent).value();
  std::visit(
      Overloaded{
          [&](const SendToHolder& e) { DeliverToHolder(e); },
          [&](const quetzalline::CloseConnection& e) {
            events_.After(kOneWayLatency,
                          [this, e] { CloseConnection(e.connection()); });
          },
          [&](const LogDecision& e) { Trace(events_.now(), name, e); },
          [&](const KvsGet& e) { kv_.Perform(name, e, post); },
          [&](const KvsCommit& e) { kv_.Perform(name, e, post); },
          [&](const auto& e) { agents_[agent].worker_->Perform(e, post); },
      },
      effect);
}

void VirtualCell::Perform(std::size_t agent, const SchedulerEffect& effect) {
  const std::uint64_t generation = agents_[agent].scheduler_->generation();
  const auto post = [this, agent, generation](const auto& input) {
    VirtualNode<SchedulerNode>& node = *agents_[agent].scheduler_;
    if (node.generation() == generation) node.Post(input);
  };
  const std::string name = AgentName(agent).value();
  std::visit(
      Overloaded{
          [&](const quetzalline::DialPeer& e) {
            agents_[agent].dial_targets_[e.member()] = ++last_dial_;
            Dial(agent, e.member(), last_dial_);
          },
          [&](const quetzalline::DropPeer& e) { DropPeer(agent, e.member()); },
          [&](const SendToRunner& e) {
            const auto found = connections_.find(e.connection());
            if (found == connections_.end()) return;
            const auto peer = AgentOf(found->second.peer_);
            DeliverToPeer(e.connection(), [this, peer, e] {
              agents_[*peer].runner_->Post(RunnerMessageReceived::Builder()
                                               .connection(e.connection())
                                               .message(e.message())
                                               .Build());
            });
          },
          [&](const SendToGateway& e) {
            const auto found = connections_.find(e.connection());
            if (found == connections_.end()) return;
            const auto peer = EntryOf(found->second.peer_);
            DeliverToPeer(e.connection(), [this, peer, e] {
              entries_[*peer]->Post(GatewayMessageReceived::Builder()
                                        .connection(e.connection())
                                        .message(e.message())
                                        .Build());
            });
          },
          [&](const quetzalline::CloseConnection& e) {
            events_.After(kOneWayLatency,
                          [this, e] { CloseConnection(e.connection()); });
          },
          [&](const ReadWallClock&) {
            post(WallClockRead::Builder()
                     .unix_ms(
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             events_.now().time_since_epoch())
                             .count())
                     .Build());
          },
          [&](const HolderEpochSeen& e) { agents_[agent].runner_->Post(e); },
          [&](const LogDecision& e) { Trace(events_.now(), name, e); },
          [&](const auto& e) { kv_.Perform(name, e, post); },
      },
      effect);
}

void VirtualCell::PerformEntry(std::size_t entry, const GatewayEffect& effect) {
  const std::uint64_t generation = entries_[entry]->generation();
  const auto post = [this, entry, generation](const auto& input) {
    VirtualNode<GatewayNode>& node = *entries_[entry];
    if (node.generation() == generation) node.Post(input);
  };
  const std::string name = EntryName(entry).value();
  std::visit(
      Overloaded{
          [&](const AnswerJobCall& e) {
            events_.After(kOneWayLatency, [this, e] { HandleAnswer(e); });
          },
          [&](const SendToHolder& e) { DeliverToHolder(e); },
          [&](const quetzalline::CloseConnection& e) {
            events_.After(kOneWayLatency,
                          [this, e] { CloseConnection(e.connection()); });
          },
          [&](const LogDecision& e) { Trace(events_.now(), name, e); },
          [](const ProcessFinished&) {},
          [&](const auto& e) { kv_.Perform(name, e, post); },
      },
      effect);
}

void VirtualCell::Announce(std::size_t agent) {
  if (agents_[agent].worker_->alive()) {
    agents_[agent].runner_->Post(agents_[agent].worker_->Announce());
  }
  events_.After(kAnnounceInterval, [this, agent] { Announce(agent); });
}

void VirtualCell::Send(const Call& call, std::size_t entry) {
  const std::uint64_t ticket = ++last_call_;
  calls_[ticket] = call;
  calls_[ticket].accepted_ = IsAccepted(call.job_);
  calls_[ticket].entry_ = entry;
  if (!entries_[entry]->alive()) return Retry(call, kCallerRetryDelay);
  entries_[entry]->Post(
      JobCall::Builder()
          .ticket(ticket)
          .host("jobs.example")
          .path("/queue/" + FormatJobId(call.job_))
          .kind(call.kind_)
          .unix_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                       events_.now().time_since_epoch())
                       .count())
          .deadline(std::chrono::seconds(3))
          .Build());
}

// Fails the calls at an entry whose process died, as callers see their
// connections break. The outcome of a submission is unknown then.
void VirtualCell::FailCalls(std::size_t entry) {
  std::vector<Call> broken;
  for (auto call = calls_.begin(); call != calls_.end();) {
    const bool lost = call->second.entry_ == entry;
    if (lost) broken.push_back(call->second);
    call = lost ? calls_.erase(call) : std::next(call);
  }
  for (const Call& call : broken) {
    if (std::holds_alternative<SubmitCall>(call.kind_)) {
      log_.OutcomeUnknown(call.job_);
    }
    Retry(call, kCallerRetryDelay);
  }
}

void VirtualCell::Retry(const Call& call, Duration delay) {
  if (call.tries_ <= 1) return;
  Call retry = call;
  --retry.tries_;
  const auto last = static_cast<std::int64_t>(entries_.size()) - 1;
  const auto entry = static_cast<std::size_t>(UniformInt(random_, last));
  events_.After(delay, [this, retry, entry] { Send(retry, entry); });
}

std::uint64_t VirtualCell::Submit(const JobDefinition& definition, int tries) {
  const std::uint64_t job = kFirstJob + ++last_job_;
  jobs_[job] = definition;
  log_.Submitted(job, definition);
  const auto last = static_cast<std::int64_t>(entries_.size()) - 1;
  const SubmitCall submit =
      SubmitCall::Builder().definition(jobs_[job]).Build();
  Send({job, submit, tries},
       static_cast<std::size_t>(UniformInt(random_, last)));
  return job;
}

void VirtualCell::SetTaskCrash(const TaskKey& task, const TaskCrash& crash) {
  crashes_[task] = crash;
  log_.CrashesWorkers(task);
}

void VirtualCell::Resubmit(std::uint64_t job, std::size_t entry) {
  Send({job, SubmitCall::Builder().definition(jobs_[job]).Build(), 1}, entry);
}

std::uint64_t VirtualCell::SubmitAt(const JobDefinition& definition,
                                    std::size_t entry) {
  const std::uint64_t job = kFirstJob + ++last_job_;
  jobs_[job] = definition;
  log_.Submitted(job, definition);
  Resubmit(job, entry);
  return job;
}

void VirtualCell::CancelAt(std::uint64_t job, std::size_t entry) {
  Send({job, CancelCall(), 4}, entry);
}

void VirtualCell::QueryJob(std::uint64_t job) { Send({job, ReadCall(), 3}, 0); }

void VirtualCell::HandleAnswer(const AnswerJobCall& answer) {
  const auto found = calls_.find(answer.ticket());
  if (found == calls_.end()) return;
  const Call call = found->second;
  calls_.erase(found);
  const bool submits = std::holds_alternative<SubmitCall>(call.kind_);
  const bool cancels = std::holds_alternative<CancelCall>(call.kind_);
  std::visit(Overloaded{
                 [&](const JobStored&) {
                   accepted_.insert(call.job_);
                   log_.Accepted(call.job_);
                 },
                 [&](const JobRefused& refused) {
                   if (submits) log_.Refused(call.job_);
                   Retry(call, refused.retry_after());
                 },
                 [&](const JobOutcomeUnknown&) {
                   if (submits) log_.OutcomeUnknown(call.job_);
                   Retry(call, kCallerRetryDelay);
                 },
                 [&](const CancelJobReply&) {
                   log_.Cancelled(call.job_, events_.now());
                 },
                 [&](const JobNotFound&) {
                   // The job must not run from now on, either.
                   if (cancels) log_.Cancelled(call.job_, events_.now());
                   not_found_.insert(call.job_);
                   if (call.accepted_) accepted_not_found_.insert(call.job_);
                 },
                 [&](const JobStateReply& reply) {
                   states_[call.job_] = reply.state();
                   if (reply.state() == JobState::kCompleted) {
                     log_.Completed(call.job_);
                   }
                   if (reply.state() == JobState::kFailed) {
                     log_.Failed(call.job_);
                   }
                 },
                 [](const PendingCountReply&) {},
                 [](const QueueNotFound&) {},
                 [](const InvalidJobCall&) {},
             },
             answer.answer());
}

std::optional<JobState> VirtualCell::StateOf(std::uint64_t job) const {
  const auto found = states_.find(job);
  if (found == states_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::size_t> VirtualCell::Holder() const {
  std::optional<std::size_t> holder;
  std::int64_t epoch = 0;
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    if (!agents_[i].scheduler_->alive()) continue;
    const SchedulerTables& tables = scheduler(i);
    const bool acting = std::holds_alternative<HolderActing>(tables.stage_);
    if (!acting || tables.term_.epoch() <= epoch) continue;
    holder = i;
    epoch = tables.term_.epoch();
  }
  return holder;
}

const SchedulerTables& VirtualCell::scheduler(std::size_t agent) const {
  return agents_[agent].scheduler_->node().tables();
}

const RunnerTables& VirtualCell::runner(std::size_t agent) const {
  return agents_[agent].runner_->node().tables();
}

}  // namespace quetzalline
