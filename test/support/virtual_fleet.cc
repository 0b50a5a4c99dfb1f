#include "support/virtual_fleet.h"

#include <algorithm>

#include "core/overloaded.h"
#include "core/resources_arithmetic.h"
#include "systems/agent/run_tasks.h"
#include "systems/entry/store_keys.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

constexpr Duration kSameZoneLatency = std::chrono::microseconds(300);
constexpr Duration kOtherZoneLatency = std::chrono::milliseconds(1);
constexpr Duration kOtherRegionLatency = std::chrono::milliseconds(30);
constexpr Duration kRedialDelay = std::chrono::milliseconds(200);

Duration LocationLatency(const Location& a, const Location& b) {
  if (a.region() != b.region()) return kOtherRegionLatency;
  return a.zone() != b.zone() ? kOtherZoneLatency : kSameZoneLatency;
}

}  // namespace

VirtualFleet::VirtualFleet(std::uint64_t seed)
    : random_(seed), store_(events_, seed + 1) {}

std::size_t VirtualFleet::AddEntry(const EntryPolicy& policy) {
  const std::size_t number = entries_.size();
  entries_.push_back(std::make_unique<EntryProcess>(EntryProcess{
      policy, VirtualNode<EntryNode>(events_,
                                     [this, number](const EntryEffect& effect) {
                                       Perform(number, effect);
                                     })}));
  StartEntryNode(number);
  return number;
}

std::size_t VirtualFleet::AddAgent(const AgentPolicy& policy,
                                   const EndpointBehaviour& behaviour) {
  const std::size_t number = instances_.size();
  instances_.push_back(std::make_unique<Instance>(Instance{
      policy,
      VirtualNode<AgentNode>(events_,
                             [this, number](const AgentEffect& effect) {
                               Perform(number, effect);
                             }),
      std::make_unique<FakeEndpoint>(events_, log_, policy.endpoint(),
                                     behaviour, NextSeed()),
      MemoryWorker(),
      {},
      true}));
  StartAgentNode(number);
  return number;
}

void VirtualFleet::PutService(const ServiceFile& file) {
  const std::string key = ServiceKey(file.name());
  const std::int64_t expected = store_.store().IndexOf(key);
  const StoreRecord record = PublishedService::Builder()
                                 .file(file)
                                 .author("test")
                                 .publication("test")
                                 .Build();
  store_.Perform(
      StoreWrite::Builder().key(key).record(record).expected(expected).Build(),
      [](const StoreAnswer&) {});
}

void VirtualFleet::RunFor(Duration duration) {
  events_.RunUntil(events_.now() + duration);
}

RequestId VirtualFleet::SendRequest(std::size_t entry,
                                    const RequestSpec& request_spec) {
  const RequestId id =
      RequestId::Builder().origin(entry + 1).sequence(++last_request_).Build();
  std::vector<Header> headers;
  if (!request_spec.key_.empty()) {
    headers.push_back(Header::Builder()
                          .name("Idempotency-Key")
                          .value(request_spec.key_)
                          .Build());
  }
  log_.RequestSent(id, request_spec.key_);
  sent_at_[id] = events_.now();
  entries_[entry]->node_.Post(
      CallerRequest::Builder()
          .id(id)
          .caller(CallerName(request_spec.caller_))
          .request(HttpRequest::Builder()
                       .method(request_spec.method_)
                       .target(request_spec.target_)
                       .headers(std::move(headers))
                       .body(Body(std::string(request_spec.body_bytes_, 'x')))
                       .Build())
          .deadline(request_spec.deadline_)
          .key(request_spec.key_)
          .Build());
  return id;
}

void VirtualFleet::DisconnectCaller(std::size_t entry, const RequestId& id) {
  entries_[entry]->node_.Post(CallerDisconnected::Builder().id(id).Build());
}

std::uint64_t VirtualFleet::Command(std::size_t entry,
                                    const quetzalline::Command& command) {
  const std::uint64_t id = ++last_command_;
  entries_[entry]->node_.Post(
      OperatorCommand::Builder().id(id).command(command).Build());
  return id;
}

const CommandResult* VirtualFleet::Result(std::uint64_t command) const {
  const auto found = results_.find(command);
  return found == results_.end() ? nullptr : &found->second;
}

const AttemptOutcome* VirtualFleet::Answer(const RequestId& id) const {
  const auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &found->second;
}

std::optional<std::size_t> VirtualFleet::Holder() const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!EntryAlive(i)) continue;
    if (std::holds_alternative<Holding>(entry(i).cell_.stage())) return i;
  }
  return std::nullopt;
}

Duration VirtualFleet::LatencyBetween(std::size_t entry,
                                      std::size_t agent) const {
  return LocationLatency(entries_[entry]->policy_.location(),
                         instances_[agent]->policy_.location());
}

bool VirtualFleet::Passes(const Link& link) const {
  return !link.stalled_ && !partitions_.contains({link.entry_, link.agent_});
}

void VirtualFleet::StartEntryNode(std::size_t entry) {
  EntryProcess& process = *entries_[entry];
  const EntryPolicy policy = EntryPolicy::Builder(process.policy_)
                                 .incarnation(++last_incarnation_)
                                 .Build();
  process.node_.Start(EntryNode(policy, NextSeed()));
}

void VirtualFleet::StartAgentNode(std::size_t agent) {
  Instance& instance = *instances_[agent];
  const AgentPolicy policy = AgentPolicy::Builder(instance.policy_)
                                 .incarnation(++last_incarnation_)
                                 .Build();
  instance.node_.Start(AgentNode(policy, NextSeed()));
  ReportWorkerState(agent);
  DialAll(agent);
}

void VirtualFleet::ReportWorkerState(std::size_t agent) {
  Instance& instance = *instances_[agent];
  for (const auto& [id, task] : instance.worker_.tasks()) {
    instance.node_.Post(
        WorkerTaskFound::Builder().task(id).work(task.work()).Build());
  }
  for (const WorkerTaskEvent& end : instance.ends_) instance.node_.Post(end);
  instance.node_.Post(WorkerTasksListed());
}

void VirtualFleet::DialAll(std::size_t agent) {
  const std::uint64_t generation = instances_[agent]->node_.generation();
  for (std::size_t i = 0; i < entries_.size(); ++i) Dial(i, agent, generation);
}

void VirtualFleet::Dial(std::size_t entry, std::size_t agent,
                        std::uint64_t generation) {
  events_.After(LatencyBetween(entry, agent), [this, entry, agent, generation] {
    Instance& instance = *instances_[agent];
    const bool current =
        instance.node_.alive() && instance.node_.generation() == generation;
    if (!current) return;
    const bool reachable =
        EntryAlive(entry) && !partitions_.contains({entry, agent});
    if (reachable) return OpenLink(entry, agent);
    events_.After(kRedialDelay, [this, entry, agent, generation] {
      Dial(entry, agent, generation);
    });
  });
}

void VirtualFleet::OpenLink(std::size_t entry, std::size_t agent) {
  const ConnectionId id(++last_connection_);
  links_.emplace(id, Link{entry, agent});
  const auto opened = ConnectionOpened::Builder().connection(id).Build();
  entries_[entry]->node_.Post(opened);
  instances_[agent]->node_.Post(opened);
}

void VirtualFleet::CloseLink(ConnectionId connection, bool notify_entry,
                             bool notify_agent) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return;
  const Link link = found->second;
  links_.erase(found);
  const auto closed =
      ConnectionClosed::Builder().connection(connection).Build();
  const auto entry_generation = entries_[link.entry_]->node_.generation();
  const auto agent_generation = instances_[link.agent_]->node_.generation();
  const Duration delay = LatencyBetween(link.entry_, link.agent_);
  if (notify_entry) {
    events_.After(delay, [this, link, closed, entry_generation] {
      VirtualNode<EntryNode>& node = entries_[link.entry_]->node_;
      if (node.generation() == entry_generation) node.Post(closed);
    });
  }
  if (!notify_agent) return;
  events_.After(delay, [this, link, closed, agent_generation] {
    VirtualNode<AgentNode>& node = instances_[link.agent_]->node_;
    if (node.generation() != agent_generation) return;
    node.Post(closed);
    events_.After(kRedialDelay, [this, link, agent_generation] {
      Dial(link.entry_, link.agent_, agent_generation);
    });
  });
}

// If the close cannot reach the agent, the agent keeps its end of the
// connection until it detects missed heartbeats.
void VirtualFleet::CloseAtEntry(ConnectionId connection) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return;
  if (Passes(found->second)) return CloseLink(connection, true, true);
  found->second.stalled_ = true;
  entries_[found->second.entry_]->node_.Post(
      ConnectionClosed::Builder().connection(connection).Build());
}

void VirtualFleet::CloseLinks(std::optional<std::size_t> entry,
                              std::optional<std::size_t> agent,
                              bool notify_peers) {
  std::vector<ConnectionId> ids;
  for (const auto& [id, link] : links_) {
    const bool of_entry = entry && link.entry_ == *entry;
    const bool of_agent = agent && link.agent_ == *agent;
    if (of_entry || of_agent) ids.push_back(id);
  }
  for (const ConnectionId id : ids) {
    const bool passes = Passes(links_.at(id));
    if (notify_peers && passes) {
      CloseLink(id, agent.has_value(), entry.has_value());
    } else {
      links_.at(id).stalled_ = true;
    }
  }
}

void VirtualFleet::KillEntry(std::size_t entry) {
  entries_[entry]->node_.Kill();
  CloseLinks(entry, std::nullopt, true);
}

void VirtualFleet::StartEntry(std::size_t entry) { StartEntryNode(entry); }

void VirtualFleet::StopEntry(std::size_t entry) {
  entries_[entry]->node_.Post(StopRequested());
}

void VirtualFleet::StallEntry(std::size_t entry, Duration duration) {
  entries_[entry]->node_.StallUntil(events_.now() + duration);
}

void VirtualFleet::KillAgent(std::size_t agent) {
  instances_[agent]->node_.Kill();
  instances_[agent]->endpoint_->AbandonAll();
  CloseLinks(std::nullopt, agent, true);
}

void VirtualFleet::StartAgent(std::size_t agent) { StartAgentNode(agent); }

void VirtualFleet::StopAgent(std::size_t agent) {
  instances_[agent]->node_.Post(StopRequested());
}

void VirtualFleet::StallAgent(std::size_t agent, Duration duration) {
  instances_[agent]->node_.StallUntil(events_.now() + duration);
}

void VirtualFleet::KillInstance(std::size_t agent) {
  Instance& instance = *instances_[agent];
  instance.node_.Kill();
  CloseLinks(std::nullopt, agent, false);
  instance.endpoint_->Kill();
  for (const auto& [id, task] : instance.worker_.tasks()) {
    log_.TaskRunEnded(id, instance.policy_.endpoint());
  }
  instance.worker_ = MemoryWorker();
  instance.ends_.clear();
  instance.up_ = false;
}

void VirtualFleet::StartInstance(std::size_t agent) {
  instances_[agent]->up_ = true;
  instances_[agent]->endpoint_->Recover();
  StartAgentNode(agent);
}

void VirtualFleet::StallConnection(std::size_t entry, std::size_t agent) {
  for (auto& [id, link] : links_) {
    if (link.entry_ == entry && link.agent_ == agent) link.stalled_ = true;
  }
}

void VirtualFleet::SetPartitioned(std::size_t entry, std::size_t agent,
                                  bool partitioned) {
  if (partitioned) {
    partitions_.insert({entry, agent});
    StallConnection(entry, agent);
  } else {
    partitions_.erase({entry, agent});
  }
}

// Delivers an input at the other end after the latency between the two, if the
// link passes messages both at the sending and at the arrival.
void VirtualFleet::Deliver(ConnectionId connection,
                           const std::function<void(const Link&)>& deliver) {
  const auto found = links_.find(connection);
  if (found == links_.end() || !Passes(found->second)) return;
  const Link& link = found->second;
  events_.After(LatencyBetween(link.entry_, link.agent_),
                [this, connection, deliver] {
                  const auto current = links_.find(connection);
                  if (current == links_.end()) return;
                  if (Passes(current->second)) deliver(current->second);
                });
}

void VirtualFleet::Deliver(ConnectionId connection,
                           const EntryMessage& message) {
  const AgentInput input = EntryMessageReceived::Builder()
                               .connection(connection)
                               .message(message)
                               .Build();
  Deliver(connection, [this, input](const Link& link) {
    instances_[link.agent_]->node_.Post(input);
  });
}

void VirtualFleet::Deliver(ConnectionId connection,
                           const AgentMessage& message) {
  const EntryInput input = AgentMessageReceived::Builder()
                               .connection(connection)
                               .message(message)
                               .Build();
  Deliver(connection, [this, input](const Link& link) {
    entries_[link.entry_]->node_.Post(input);
  });
}

void VirtualFleet::HandleAnswer(const AnswerCaller& answer) {
  log_.RequestAnswered(answer.id(), answer.outcome());
  answers_.insert_or_assign(answer.id(), answer.outcome());
  if (std::holds_alternative<Done>(answer.outcome())) {
    latencies_.push_back(events_.now() - sent_at_[answer.id()]);
  }
}

void VirtualFleet::Perform(std::size_t entry, const EntryEffect& effect) {
  const auto generation = entries_[entry]->node_.generation();
  const auto on_store_answer = [this, entry,
                                generation](const StoreAnswer& answer) {
    VirtualNode<EntryNode>& node = entries_[entry]->node_;
    if (node.generation() == generation) node.Post(answer);
  };
  const Overloaded perform{
      [&](const SendToAgent& e) { Deliver(e.connection(), e.message()); },
      [&](const CloseConnection& e) { CloseAtEntry(e.connection()); },
      [&](const AnswerCaller& e) { HandleAnswer(e); },
      [&](const AnswerOperator& e) {
        results_.insert_or_assign(e.id(), e.result());
      },
      [&](const StoreRead& e) { store_.Perform(e, on_store_answer); },
      [&](const StoreWatch& e) { store_.Perform(e, on_store_answer); },
      [&](const StoreWrite& e) { store_.Perform(e, on_store_answer); },
      [](const LogChange&) {},
      [&](const ProcessFinished&) {
        events_.After(Duration(0), [this, entry] { KillEntry(entry); });
      },
  };
  std::visit(perform, effect);
}

void VirtualFleet::Perform(std::size_t agent, const AgentEffect& effect) {
  Instance& instance = *instances_[agent];
  const auto generation = instance.node_.generation();
  const Overloaded perform{
      [&](const SendToEntry& e) { Deliver(e.connection(), e.message()); },
      [&](const CloseConnection& e) {
        const auto found = links_.find(e.connection());
        const bool notify_entry =
            found != links_.end() && Passes(found->second);
        CloseLink(e.connection(), notify_entry, true);
      },
      [&](const CallEndpoint& e) {
        instance.endpoint_->Call(
            e, [this, agent, generation](const CallEnded& ended) {
              VirtualNode<AgentNode>& node = instances_[agent]->node_;
              if (node.generation() == generation) node.Post(ended);
            });
      },
      [&](const AbandonCall& e) { instance.endpoint_->Abandon(e.attempt()); },
      [&](const StartWork& e) { StartWorkAt(agent, e); },
      [&](const RenewWork& e) {
        instance.worker_.Renew(e.until());
        PollWorker(agent);
      },
      [&](const StopWork& e) {
        instance.worker_.Stop(e.task(), events_.now());
        PollWorker(agent);
      },
      [](const LogChange&) {},
      [&](const ProcessFinished&) {
        events_.After(Duration(0), [this, agent] { KillAgent(agent); });
      },
  };
  std::visit(perform, effect);
}

void VirtualFleet::StartWorkAt(std::size_t agent, const StartWork& start) {
  Instance& instance = *instances_[agent];
  log_.TaskRunStarted(start.task(), instance.policy_.endpoint());
  log_.TaskResumed(start.task(), start.checkpoint());
  instance.worker_.Start(start, events_.now());
  CheckCapacity(instance);
  PollWorker(agent);
}

void VirtualFleet::CheckCapacity(const Instance& instance) {
  Resources used;
  for (const auto& [id, task] : instance.worker_.tasks()) {
    used = Sum(used, task.work().needs());
  }
  if (Fits(used, instance.policy_.capacity())) return;
  log_.Fail("instance " + instance.policy_.endpoint().value() +
            " runs tasks beyond its capacity");
}

void VirtualFleet::PollWorker(std::size_t agent) {
  Instance& instance = *instances_[agent];
  for (const WorkerTaskEvent& event :
       instance.worker_.DrainNews(events_.now())) {
    if (IsTerminal(event.news())) {
      log_.TaskRunEnded(event.task(), instance.policy_.endpoint());
      instance.ends_.push_back(event);
    }
    instance.node_.Post(event);
  }
  const std::optional<Instant> next = instance.worker_.NextNewsTime();
  if (next) events_.At(*next, [this, agent] { PollWorker(agent); });
}

}  // namespace quetzalline
