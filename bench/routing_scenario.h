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

inline constexpr int kExecutors = 11;
inline constexpr int kSlots = 8;
inline constexpr int kEntries = 3;
inline constexpr Duration kServiceTime = std::chrono::milliseconds(20);
inline constexpr Duration kDeadline = std::chrono::seconds(2);
inline constexpr Duration kRun = std::chrono::seconds(60);
inline constexpr Duration kWarmUp = std::chrono::seconds(10);
inline constexpr double kWaveSlowdown = 3.0;

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
    const auto wave = now.time_since_epoch() / std::chrono::seconds(3);
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

inline Duration DelayTo(const Executor& executor,
                        const Deployment& deployment) {
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
      ask(static_cast<int>(UniformInt(random_, kEntries - 1)));
      Next(ask);
    });
  }

  EventQueue& events_;
  Random random_;
  double mean_gap_ = 0.0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_BENCH_ROUTING_SCENARIO_H_
