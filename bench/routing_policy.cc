// Compares ways to choose an endpoint, in virtual time and with fixed seeds:
// the project's own and the usual baselines run under the same load, waves of
// noise and faults. Prints one line for each way and each load.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/overloaded.h"
#include "support/event_queue.h"
#include "systems/agent/agent_node.h"
#include "systems/entry/entry_node.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExecutors = 11;
constexpr int kSlots = 8;
constexpr int kEntries = 3;
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kDeadline = seconds(2);
constexpr Duration kRun = seconds(60);
constexpr Duration kWarmUp = seconds(10);
constexpr double kWaveSlowdown = 3.0;

// How an endpoint is chosen.
struct OwnPolicy {};
struct RandomChoice {};
struct RoundRobin {};
struct LeastOutstanding {};
struct Oracle {};
using Way =
    std::variant<OwnPolicy, RandomChoice, RoundRobin, LeastOutstanding, Oracle>;

struct Deployment {
  const char* name_;
  // Zones of the executors in turn; the first two are in the entries' region.
  Duration zone_delay_;
  Duration region_delay_;
  Duration client_delay_;
};

struct Scenario {
  double load_ = 0.8;
  bool waves_ = false;
  bool slow_endpoint_ = false;
  bool zone_gone_ = false;
  bool stale_reports_ = false;
  std::uint64_t seed_ = 1;
};

struct Figures {
  std::vector<Duration> latencies_;
  std::int64_t asked_ = 0;
  std::int64_t done_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t other_ = 0;
  std::int64_t crossings_ = 0;
};

// A FIFO endpoint with slots; the service time follows the waves of noise.
class Executor {
 public:
  Executor(EventQueue& events, int number, const Scenario& scenario)
      : events_(events),
        number_(number),
        scenario_(scenario),
        random_(scenario.seed_ * 1000 + static_cast<std::uint64_t>(number)) {}

  int number() const { return number_; }
  int region() const { return number_ % 3 == 2 ? 1 : 0; }
  int zone() const { return number_ % 3; }
  bool gone() const {
    return scenario_.zone_gone_ && zone() == 1 &&
           events_.now() > Instant(kWarmUp + kRun / 3);
  }

  double Slowdown(Instant now) const {
    double slowdown = 1.0;
    if (scenario_.slow_endpoint_ && number_ == 0) slowdown *= 10.0;
    if (!scenario_.waves_) return slowdown;
    // A third of the executors at a time has a noisy neighbour for three
    // seconds; which ones changes with each wave.
    const auto wave = now.time_since_epoch() / seconds(3);
    const bool noisy = (wave * 7 + number_ * 5) % 11 < 4;
    return noisy ? slowdown * kWaveSlowdown : slowdown;
  }

  void Serve(std::function<void()> done) {
    queue_.push_back(std::move(done));
    StartNext();
  }

  // What an observer without delay would expect a new request to take here.
  double TrueWait() const {
    const double jobs = running_ + static_cast<double>(queue_.size());
    const double wait = std::max(0.0, jobs + 1.0 - kSlots) / kSlots;
    return (1.0 + wait) * Slowdown(events_.now());
  }

  Duration DrawServiceTime() {
    const double factor =
        std::exponential_distribution<double>(1.0)(random_) * 0.7 + 0.3;
    const double time = static_cast<double>(kServiceTime.count()) * factor *
                        Slowdown(events_.now());
    return Duration(static_cast<std::int64_t>(time) + 1);
  }

 private:
  void StartNext() {
    while (running_ < kSlots && !queue_.empty()) {
      ++running_;
      events_.After(DrawServiceTime(), [this, done = queue_.front()] {
        --running_;
        if (!gone()) done();
        StartNext();
      });
      queue_.pop_front();
    }
  }

  EventQueue& events_;
  int number_;
  Scenario scenario_;
  Random random_;
  int running_ = 0;
  std::deque<std::function<void()>> queue_;
};

Duration DelayTo(const Executor& executor, const Deployment& deployment) {
  if (executor.region() != 0) return deployment.region_delay_;
  return executor.zone() == 0 ? Duration(200) : deployment.zone_delay_;
}

// The arrivals of one run: a Poisson process over the callers of all entries.
class Arrivals {
 public:
  Arrivals(EventQueue& events, const Scenario& scenario)
      : events_(events), random_(scenario.seed_) {
    const double capacity =
        kExecutors * kSlots / static_cast<double>(kServiceTime.count());
    mean_gap_ = 1.0 / (capacity * scenario.load_);
  }

  void Start(const std::function<void(int entry)>& ask) { Next(ask); }

 private:
  void Next(const std::function<void(int entry)>& ask) {
    const double gap =
        std::exponential_distribution<double>(1.0 / mean_gap_)(random_);
    events_.After(Duration(static_cast<std::int64_t>(gap) + 1), [this, ask] {
      if (events_.now() > Instant(kWarmUp + kRun)) return;
      ask(static_cast<int>(Draw(random_, kEntries - 1)));
      Next(ask);
    });
  }

  EventQueue& events_;
  Random random_;
  double mean_gap_ = 0.0;
};

// A baseline: the entry alone chooses, endpoints queue without bound, and a
// request that is not answered in time is lost.
class Baseline {
 public:
  Baseline(const Way& way, const Deployment& deployment,
           const Scenario& scenario)
      : way_(way),
        deployment_(deployment),
        scenario_(scenario),
        random_(scenario.seed_ + 77),
        arrivals_(events_, scenario) {
    for (int i = 0; i < kExecutors; ++i) {
      executors_.push_back(std::make_unique<Executor>(events_, i, scenario));
    }
    outstanding_.assign(kEntries, std::vector<int>(kExecutors, 0));
    turns_.assign(kEntries, 0);
  }

  Figures Run() {
    arrivals_.Start([this](int entry) { Ask(entry); });
    events_.RunUntil(Instant(kWarmUp + kRun + seconds(5)));
    return figures_;
  }

 private:
  // Endpoints known to be gone are left out, as after a health check.
  std::vector<int> Candidates() const {
    std::vector<int> candidates;
    for (const auto& executor : executors_) {
      if (!executor->gone()) candidates.push_back(executor->number());
    }
    return candidates;
  }

  int Choose(int entry) {
    const std::vector<int> candidates = Candidates();
    const auto count = static_cast<std::int64_t>(candidates.size());
    const auto least = [&](const std::function<double(int)>& cost) {
      return *std::min_element(candidates.begin(), candidates.end(),
                               [&](int a, int b) { return cost(a) < cost(b); });
    };
    return std::visit(
        Overloaded{[&](const OwnPolicy&) { return 0; },
                   [&](const RandomChoice&) {
                     return candidates[static_cast<std::size_t>(
                         Draw(random_, count - 1))];
                   },
                   [&](const RoundRobin&) {
                     return candidates[static_cast<std::size_t>(
                         turns_[entry]++ % count)];
                   },
                   [&](const LeastOutstanding&) {
                     const std::int64_t start = Draw(random_, count - 1);
                     return least([&](int i) {
                       return outstanding_[entry][i] +
                              static_cast<double>((i + start) % kExecutors) /
                                  100.0;
                     });
                   },
                   [&](const Oracle&) {
                     return least([&](int i) {
                       const double network =
                           2.0 *
                           static_cast<double>(
                               DelayTo(*executors_[i], deployment_).count()) /
                           static_cast<double>(kServiceTime.count());
                       return executors_[i]->TrueWait() + network;
                     });
                   }},
        way_);
  }

  void Ask(int entry) {
    const Instant asked = events_.now();
    const bool counted = asked > Instant(kWarmUp);
    if (counted) ++figures_.asked_;
    const int chosen = Choose(entry);
    ++outstanding_[entry][chosen];
    const Duration delay = DelayTo(*executors_[chosen], deployment_);
    if (counted && executors_[chosen]->region() != 0) ++figures_.crossings_;
    events_.After(delay + deployment_.client_delay_, [=, this] {
      executors_[chosen]->Serve([=, this] {
        events_.After(delay + deployment_.client_delay_, [=, this] {
          --outstanding_[entry][chosen];
          const Duration took = events_.now() - asked;
          if (!counted) return;
          if (took > kDeadline) return;
          ++figures_.done_;
          figures_.latencies_.push_back(took);
        });
      });
    });
  }

  Way way_;
  Deployment deployment_;
  Scenario scenario_;
  Random random_;
  EventQueue events_;
  Arrivals arrivals_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::vector<int>> outstanding_;
  std::vector<std::int64_t> turns_;
  Figures figures_;
};

Location PlaceOf(int zone) {
  return Location::Builder()
      .region(Region(zone == 2 ? "away" : "home"))
      .zone(AvailabilityZone("zone-" + std::to_string(zone)))
      .Build();
}

ServiceFile QuoteFile() {
  return ServiceFile::Builder()
      .name(ServiceName("quotes"))
      .route(Route::Builder()
                 .prefix("/q")
                 .deadline(kDeadline)
                 .idempotent_methods({"GET"})
                 .Build())
      .Build();
}

// The project's own systems: real entry and agent nodes, joined by delays.
class Own {
 public:
  Own(const Deployment& deployment, const Scenario& scenario)
      : deployment_(deployment),
        scenario_(scenario),
        arrivals_(events_, scenario) {
    for (int i = 0; i < kEntries; ++i) AddEntry(i);
    for (int i = 0; i < kExecutors; ++i) AddAgent(i);
  }

  Figures Run() {
    for (int i = 0; i < kEntries; ++i) TickEntry(i, {});
    for (int agent = 0; agent < kExecutors; ++agent) {
      for (int entry = 0; entry < kEntries; ++entry) Connect(entry, agent);
    }
    events_.RunUntil(Instant(seconds(6)));
    arrivals_.Start([this](int entry) { Ask(entry); });
    events_.RunUntil(Instant(kWarmUp + kRun + seconds(5)));
    for (const auto& entry : entries_) {
      figures_.crossings_ +=
          entry->tables().counters_.Total(Counter::kCrossRegionAttempts);
    }
    return figures_;
  }

 private:
  void AddEntry(int number) {
    const EntryPolicy policy =
        EntryPolicy::Builder()
            .entry(EntryId("entry-" + std::to_string(number)))
            .incarnation(static_cast<std::uint64_t>(number + 1))
            .location(PlaceOf(0))
            .zone_cost(2 * deployment_.zone_delay_)
            .region_cost(2 * deployment_.region_delay_)
            .cell("")
            .Build();
    entries_.push_back(std::make_unique<EntryNode>(
        policy, scenario_.seed_ + static_cast<std::uint64_t>(number)));
    entry_wakes_.push_back(0);
  }

  void AddAgent(int number) {
    executors_.push_back(
        std::make_unique<Executor>(events_, number, scenario_));
    AgentPolicy::Builder policy;
    policy.endpoint(EndpointId("executor-" + std::to_string(number)))
        .service(ServiceName("quotes"))
        .incarnation(1)
        .location(PlaceOf(number % 3))
        .slots(kSlots);
    if (scenario_.stale_reports_) {
      policy.heartbeat_interval(seconds(1)).entry_silence(seconds(5));
    }
    agents_.push_back(std::make_unique<AgentNode>(policy.Build(), 1));
    agent_wakes_.push_back(0);
  }

  static ConnectionId LinkOf(int entry, int agent) {
    return ConnectionId(static_cast<std::uint64_t>(entry * 100 + agent + 1));
  }
  static int EntryOf(ConnectionId link) {
    return static_cast<int>(link.value() - 1) / 100;
  }
  static int AgentOf(ConnectionId link) {
    return static_cast<int>(link.value() - 1) % 100;
  }

  void Connect(int entry, int agent) {
    TickAgent(
        agent,
        {ConnectionOpened::Builder().connection(LinkOf(entry, agent)).Build()});
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
    if (executors_[number]->gone()) return;
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
          events_.After(DelayTo(*executors_[agent], deployment_), [=, this] {
            TickAgent(agent, {EntryMessageReceived::Builder()
                                  .connection(e.connection())
                                  .message(e.message())
                                  .Build()});
          });
        },
        [](const CloseConnection&) {},
        [&](const AnswerCaller& e) { TakeAnswer(e); },
        [](const AnswerOperator&) {},
        [](const StoreRead&) {},
        [&](const StoreWatch& e) {
          if (e.after() > 0) return;
          const StoreRecord record =
              PublishedService::Builder().file(QuoteFile()).Build();
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
          events_.After(milliseconds(1),
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
          events_.After(DelayTo(*executors_[agent], deployment_), [=, this] {
            TickEntry(entry, {AgentMessageReceived::Builder()
                                  .connection(e.connection())
                                  .message(e.message())
                                  .Build()});
          });
        },
        [](const CloseConnection&) {},
        [&](const CallEndpoint& e) {
          executors_[agent]->Serve([=, this] {
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

  void Ask(int entry) {
    const RequestId id =
        RequestId::Builder().origin(1).sequence(++last_request_).Build();
    asked_[id] = events_.now();
    if (events_.now() > Instant(kWarmUp)) ++figures_.asked_;
    const CallerRequest request =
        CallerRequest::Builder()
            .id(id)
            .request(HttpRequest::Builder().method("GET").target("/q").Build())
            .Build();
    events_.After(deployment_.client_delay_,
                  [=, this] { TickEntry(entry, {request}); });
  }

  void TakeAnswer(const AnswerCaller& answer) {
    const Instant asked = asked_[answer.id()];
    if (asked <= Instant(kWarmUp)) return;
    const Overloaded take{
        [&](const Done&) {
          const Duration took =
              events_.now() + deployment_.client_delay_ - asked;
          ++figures_.done_;
          figures_.latencies_.push_back(took);
        },
        [&](const NotRun&) { ++figures_.refused_; },
        [&](const Unknown&) { ++figures_.other_; },
    };
    std::visit(take, answer.outcome());
  }

  Deployment deployment_;
  Scenario scenario_;
  EventQueue events_;
  Arrivals arrivals_;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<AgentNode>> agents_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::uint64_t> entry_wakes_;
  std::vector<std::uint64_t> agent_wakes_;
  std::map<RequestId, Instant> asked_;
  std::uint64_t last_request_ = 0;
  Figures figures_;
};

double Percentile(std::vector<Duration> sorted, double share) {
  if (sorted.empty()) return 0.0;
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index].count()) / 1000.0;
}

const char* NameOf(const Way& way) {
  return std::visit(
      Overloaded{[](const OwnPolicy&) { return "quetzalline"; },
                 [](const RandomChoice&) { return "random"; },
                 [](const RoundRobin&) { return "round-robin"; },
                 [](const LeastOutstanding&) { return "least-outstanding"; },
                 [](const Oracle&) { return "oracle"; }},
      way);
}

void Print(const Deployment& deployment, const std::string& scenario,
           double load, const Way& way, Figures figures) {
  std::sort(figures.latencies_.begin(), figures.latencies_.end());
  const double goodput = static_cast<double>(figures.done_) /
                         std::chrono::duration<double>(kRun).count();
  std::printf(
      "%-9s %-14s load %.2f  %-17s p50 %7.1f  p99 %7.1f  p99.9 %7.1f ms  "
      "goodput %6.0f/s  refused %5.2f %%  lost %5.2f %%  crossed %5.2f %%\n",
      deployment.name_, scenario.c_str(), load, NameOf(way),
      Percentile(figures.latencies_, 0.5), Percentile(figures.latencies_, 0.99),
      Percentile(figures.latencies_, 0.999), goodput,
      100.0 * static_cast<double>(figures.refused_) /
          static_cast<double>(figures.asked_),
      100.0 *
          static_cast<double>(figures.asked_ - figures.done_ -
                              figures.refused_) /
          static_cast<double>(figures.asked_),
      100.0 * static_cast<double>(figures.crossings_) /
          static_cast<double>(figures.asked_));
}

Figures RunOne(const Way& way, const Deployment& deployment,
               const Scenario& scenario) {
  if (std::holds_alternative<OwnPolicy>(way)) {
    return Own(deployment, scenario).Run();
  }
  return Baseline(way, deployment, scenario).Run();
}

void RunAll(const Deployment& deployment, const std::string& name,
            const Scenario& scenario) {
  const std::vector<Way> ways{OwnPolicy(), RandomChoice(), RoundRobin(),
                              LeastOutstanding(), Oracle()};
  std::vector<std::future<Figures>> runs;
  for (const Way& way : ways) {
    runs.push_back(std::async(
        std::launch::async, [&] { return RunOne(way, deployment, scenario); }));
  }
  for (std::size_t i = 0; i < ways.size(); ++i) {
    Print(deployment, name, scenario.load_, ways[i], runs[i].get());
  }
}

void RunDeployment(const Deployment& deployment, std::uint64_t seed) {
  for (const double load : {0.3, 0.6, 0.8, 0.95, 1.3}) {
    RunAll(deployment, "calm", {.load_ = load, .seed_ = seed});
    RunAll(deployment, "waves", {.load_ = load, .waves_ = true, .seed_ = seed});
  }
  RunAll(deployment, "slow-endpoint",
         {.load_ = 0.6, .slow_endpoint_ = true, .seed_ = seed});
  RunAll(deployment, "zone-gone",
         {.load_ = 0.6, .zone_gone_ = true, .seed_ = seed});
  RunAll(deployment, "stale-reports",
         {.load_ = 0.8, .waves_ = true, .stale_reports_ = true, .seed_ = seed});
}

}  // namespace
}  // namespace quetzalline

int main(int argc, char** argv) {
  using quetzalline::Deployment;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  quetzalline::RunDeployment(
      Deployment{"chikushi", std::chrono::milliseconds(1),
                 std::chrono::milliseconds(30), std::chrono::milliseconds(1)},
      seed);
  quetzalline::RunDeployment(
      Deployment{"brunner", std::chrono::microseconds(1500),
                 std::chrono::milliseconds(30), std::chrono::milliseconds(3)},
      seed);
  return 0;
}
