#ifndef QUETZALLINE_BENCH_ROUTING_SCENARIO_H_
#define QUETZALLINE_BENCH_ROUTING_SCENARIO_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "core/tick.h"
#include "support/event_queue.h"

namespace quetzalline {

inline constexpr int kEndpoints = 11;
inline constexpr int kSlots = 8;
inline constexpr int kEntries = 3;
inline constexpr Duration kServiceTime = std::chrono::milliseconds(20);
inline constexpr Duration kDeadline = std::chrono::seconds(2);
inline constexpr Duration kRun = std::chrono::seconds(60);
inline constexpr Duration kWarmUp = std::chrono::seconds(10);
inline constexpr double kNoiseSlowdown = 3.0;

// Policies for choosing the endpoint of a request: the scheduler's own, three
// baselines, and an oracle that knows the current state of each endpoint.
struct QuetzallineRouting {};
struct RandomChoice {};
struct RoundRobin {};
struct LeastOutstanding {};
struct OracleChoice {};
using RoutingPolicy = std::variant<QuetzallineRouting, RandomChoice, RoundRobin,
                                   LeastOutstanding, OracleChoice>;

struct Deployment {
  const char* name_;
  // One-way delays. The endpoints are spread over three zones in turn; the
  // first two zones are in the entries' region.
  Duration zone_delay_;
  Duration region_delay_;
  Duration client_delay_;
};

struct Scenario {
  double load_ = 0.8;
  bool noise_waves_ = false;
  bool slow_endpoint_ = false;
  bool zone_failure_ = false;
  bool stale_reports_ = false;
  std::uint64_t seed_ = 1;
};

struct RunResult {
  std::vector<Duration> latencies_;
  std::int64_t asked_ = 0;
  std::int64_t done_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t cross_region_ = 0;
};

// An endpoint with kSlots slots and an unbounded FIFO queue. The service time
// is random and grows while the endpoint is slow or has a noisy neighbour.
class SimulatedEndpoint {
 public:
  SimulatedEndpoint(EventQueue& events, int number, const Scenario& scenario)
      : events_(events),
        number_(number),
        scenario_(scenario),
        random_(scenario.seed_ * 1000 + static_cast<std::uint64_t>(number)) {}

  int number() const { return number_; }
  int region() const { return number_ % 3 == 2 ? 1 : 0; }
  int zone() const { return number_ % 3; }
  bool failed() const {
    return scenario_.zone_failure_ && zone() == 1 &&
           events_.now() > Instant(kWarmUp + kRun / 3);
  }

  double Slowdown(Instant now) const {
    double slowdown = 1.0;
    if (scenario_.slow_endpoint_ && number_ == 0) slowdown *= 10.0;
    if (!scenario_.noise_waves_) return slowdown;
    // In each wave of three seconds, four of the eleven endpoints have a noisy
    // neighbour; the set changes from wave to wave.
    const auto wave = now.time_since_epoch() / std::chrono::seconds(3);
    const bool noisy = (wave * 7 + number_ * 5) % 11 < 4;
    return noisy ? slowdown * kNoiseSlowdown : slowdown;
  }

  void Serve(std::function<void()> done) {
    queue_.push_back(std::move(done));
    StartNext();
  }

  // Returns the expected time of a new request, in mean service times, from the
  // current queue and slowdown.
  double ExpectedServiceTimes() const {
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
        if (!failed()) done();
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

inline Duration DelayTo(const SimulatedEndpoint& endpoint,
                        const Deployment& deployment) {
  if (endpoint.region() != 0) return deployment.region_delay_;
  return endpoint.zone() == 0 ? Duration(200) : deployment.zone_delay_;
}

// Generates the requests of one run: a Poisson process. The entry of each
// request is drawn uniformly at random.
class Arrivals {
 public:
  Arrivals(EventQueue& events, const Scenario& scenario)
      : events_(events), random_(scenario.seed_) {
    const double capacity =
        kEndpoints * kSlots / static_cast<double>(kServiceTime.count());
    mean_gap_ = 1.0 / (capacity * scenario.load_);
  }

  void Start(const std::function<void(int entry)>& send_request) {
    ScheduleNext(send_request);
  }

 private:
  void ScheduleNext(const std::function<void(int entry)>& send_request) {
    const double gap =
        std::exponential_distribution<double>(1.0 / mean_gap_)(random_);
    events_.After(
        Duration(static_cast<std::int64_t>(gap) + 1), [this, send_request] {
          if (events_.now() > Instant(kWarmUp + kRun)) return;
          send_request(static_cast<int>(UniformInt(random_, kEntries - 1)));
          ScheduleNext(send_request);
        });
  }

  EventQueue& events_;
  Random random_;
  double mean_gap_ = 0.0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_BENCH_ROUTING_SCENARIO_H_
