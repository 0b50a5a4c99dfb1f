#ifndef QUETZALLINE_BENCH_QUETZALLINE_ROUTING_H_
#define QUETZALLINE_BENCH_QUETZALLINE_ROUTING_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/overloaded.h"
#include "routing_scenario.h"
#include "systems/agent/agent_node.h"
#include "systems/entry/entry_node.h"

namespace quetzalline {

inline Location LocationOfZone(int zone) {
  return Location::Builder()
      .region(Region(zone == 2 ? "away" : "home"))
      .zone(AvailabilityZone("zone-" + std::to_string(zone)))
      .Build();
}

inline ServiceFile QuoteServiceFile() {
  return ServiceFile::Builder()
      .name(ServiceName("quotes"))
      .route(Route::Builder()
                 .prefix("/q")
                 .deadline(kDeadline)
                 .idempotent_methods({"GET"})
                 .Build())
      .Build();
}

// Simulates the scheduler's own routing: the entry and agent nodes of the
// program exchange messages with the delays of the deployment.
class QuetzallineSimulation {
 public:
  QuetzallineSimulation(const Deployment& deployment, const Scenario& scenario)
      : deployment_(deployment),
        scenario_(scenario),
        arrivals_(events_, scenario) {
    for (int i = 0; i < kEntries; ++i) AddEntry(i);
    for (int i = 0; i < kEndpoints; ++i) AddAgent(i);
  }

  RunResult Run() {
    for (int i = 0; i < kEntries; ++i) TickEntry(i, {});
    for (int agent = 0; agent < kEndpoints; ++agent) {
      for (int entry = 0; entry < kEntries; ++entry) Connect(entry, agent);
    }
    events_.RunUntil(Instant(std::chrono::seconds(6)));
    arrivals_.Start([this](int entry) { SendRequest(entry); });
    events_.RunUntil(Instant(kWarmUp + kRun + std::chrono::seconds(5)));
    for (const auto& entry : entries_) {
      result_.cross_region_ +=
          entry->tables().counters_.Total(Counter::kCrossRegionAttempts);
    }
    return result_;
  }

 private:
  void AddEntry(int number) {
    const EntryPolicy policy =
        EntryPolicy::Builder()
            .entry(EntryId("entry-" + std::to_string(number)))
            .incarnation(static_cast<std::uint64_t>(number + 1))
            .location(LocationOfZone(0))
            .zone_cost(2 * deployment_.zone_delay_)
            .region_cost(2 * deployment_.region_delay_)
            .cell("")
            .Build();
    entries_.push_back(std::make_unique<EntryNode>(
        policy, scenario_.seed_ + static_cast<std::uint64_t>(number)));
    entry_wakes_.push_back(0);
  }

  void AddAgent(int number) {
    endpoints_.push_back(
        std::make_unique<SimulatedEndpoint>(events_, number, scenario_));
    AgentPolicy::Builder policy;
    policy.endpoint(EndpointId("executor-" + std::to_string(number)))
        .service(ServiceName("quotes"))
        .incarnation(1)
        .location(LocationOfZone(number % 3))
        .slots(kSlots);
    if (scenario_.stale_reports_) {
      policy.heartbeat_interval(std::chrono::seconds(1))
          .entry_silence(std::chrono::seconds(5));
    }
    agents_.push_back(std::make_unique<AgentNode>(policy.Build(), 1));
    agent_wakes_.push_back(0);
  }

  static ConnectionId ConnectionOf(int entry, int agent) {
    return ConnectionId(static_cast<std::uint64_t>(entry * 100 + agent + 1));
  }
  static int EntryOf(ConnectionId connection) {
    return static_cast<int>(connection.value() - 1) / 100;
  }
  static int AgentOf(ConnectionId connection) {
    return static_cast<int>(connection.value() - 1) % 100;
  }

  void Connect(int entry, int agent) {
    TickAgent(agent, {ConnectionOpened::Builder()
                          .connection(ConnectionOf(entry, agent))
                          .Build()});
  }

  void TickEntry(int number, const std::vector<EntryInput>& inputs) {
    for (const EntryEffect& effect :
         entries_[number]->RunTick(events_.now(), inputs)) {
      Perform(number, effect);
    }
    const auto wake = entries_[number]->wake_at();
    if (!wake) return;
    const std::uint64_t serial = ++entry_wakes_[number];
    events_.At(std::max(*wake, events_.now() + Duration(500)),
               [this, number, serial] {
                 if (serial == entry_wakes_[number]) TickEntry(number, {});
               });
  }

  void TickAgent(int number, const std::vector<AgentInput>& inputs) {
    if (endpoints_[number]->failed()) return;
    for (const AgentEffect& effect :
         agents_[number]->RunTick(events_.now(), inputs)) {
      Perform(number, effect);
    }
    const auto wake = agents_[number]->wake_at();
    if (!wake) return;
    const std::uint64_t serial = ++agent_wakes_[number];
    events_.At(std::max(*wake, events_.now() + Duration(500)),
               [this, number, serial] {
                 if (serial == agent_wakes_[number]) TickAgent(number, {});
               });
  }

  void Perform(int entry, const EntryEffect& effect) {
    const Overloaded perform{
        [&](const SendToAgent& e) {
          const int agent = AgentOf(e.connection());
          events_.After(DelayTo(*endpoints_[agent], deployment_), [=, this] {
            TickAgent(agent, {EntryMessageReceived::Builder()
                                  .connection(e.connection())
                                  .message(e.message())
                                  .Build()});
          });
        },
        [](const CloseConnection&) {},
        [&](const AnswerCaller& e) { RecordAnswer(e); },
        [](const AnswerOperator&) {},
        [](const StoreRead&) {},
        [&](const StoreWatch& e) {
          if (e.after() > 0) return;
          const StoreRecord record =
              PublishedService::Builder().file(QuoteServiceFile()).Build();
          const StoreItem item = StoreItem::Builder()
                                     .key("quetzalline/config/quotes")
                                     .record(record)
                                     .index(1)
                                     .Build();
          const StoreAnswer answer =
              StoreAnswer::Builder()
                  .ticket(e.ticket())
                  .result(StoreValues::Builder().index(1).items({item}).Build())
                  .Build();
          events_.After(std::chrono::milliseconds(1),
                        [=, this] { TickEntry(entry, {answer}); });
        },
        [](const StoreWrite&) {},
        [](const LogChange&) {},
        [](const ProcessFinished&) {},
    };
    std::visit(perform, effect);
  }

  void Perform(int agent, const AgentEffect& effect) {
    const Overloaded perform{
        [&](const SendToEntry& e) {
          const int entry = EntryOf(e.connection());
          events_.After(DelayTo(*endpoints_[agent], deployment_), [=, this] {
            TickEntry(entry, {AgentMessageReceived::Builder()
                                  .connection(e.connection())
                                  .message(e.message())
                                  .Build()});
          });
        },
        [](const CloseConnection&) {},
        [&](const CallEndpoint& e) {
          endpoints_[agent]->Serve([=, this] {
            const HttpResponse response =
                HttpResponse::Builder().status(200).Build();
            TickAgent(
                agent,
                {CallEnded::Builder()
                     .attempt(e.attempt())
                     .result(
                         CallCompleted::Builder().response(response).Build())
                     .Build()});
          });
        },
        [](const AbandonCall&) {},
        [](const StartWork&) {},
        [](const RenewWork&) {},
        [](const StopWork&) {},
        [](const LogChange&) {},
        [](const ProcessFinished&) {},
    };
    std::visit(perform, effect);
  }

  void SendRequest(int entry) {
    const RequestId id =
        RequestId::Builder().origin(1).sequence(++last_request_).Build();
    asked_[id] = events_.now();
    if (events_.now() > Instant(kWarmUp)) ++result_.asked_;
    const CallerRequest request =
        CallerRequest::Builder()
            .id(id)
            .request(HttpRequest::Builder().method("GET").target("/q").Build())
            .Build();
    events_.After(deployment_.client_delay_,
                  [=, this] { TickEntry(entry, {request}); });
  }

  void RecordAnswer(const AnswerCaller& answer) {
    const Instant sent_at = asked_[answer.id()];
    if (sent_at <= Instant(kWarmUp)) return;
    const Overloaded record{
        [&](const Done&) {
          const Duration latency =
              events_.now() + deployment_.client_delay_ - sent_at;
          ++result_.done_;
          result_.latencies_.push_back(latency);
        },
        [&](const NotRun&) { ++result_.refused_; },
        [&](const Unknown&) { ++result_.unknown_; },
    };
    std::visit(record, answer.outcome());
  }

  Deployment deployment_;
  Scenario scenario_;
  EventQueue events_;
  Arrivals arrivals_;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<AgentNode>> agents_;
  std::vector<std::unique_ptr<SimulatedEndpoint>> endpoints_;
  std::vector<std::uint64_t> entry_wakes_;
  std::vector<std::uint64_t> agent_wakes_;
  std::map<RequestId, Instant> asked_;
  std::uint64_t last_request_ = 0;
  RunResult result_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_BENCH_QUETZALLINE_ROUTING_H_
