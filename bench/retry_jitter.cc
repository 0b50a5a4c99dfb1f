// Compares kinds of jitter in the retry backoff, in virtual time with fixed
// seeds. Bursts of requests meet short queues, so that many requests are
// refused at the same time and retried.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "core/overloaded.h"
#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBursts = 60;
constexpr int kSeeds = 10;

struct Totals {
  std::int64_t asked_ = 0;
  std::int64_t done_ = 0;
  std::int64_t attempts_ = 0;
  std::vector<Duration> latencies_;
};

const char* NameOf(const Jitter& jitter) {
  return std::visit(Overloaded{[](const HalfJitter&) { return "half"; },
                               [](const FullJitter&) { return "full"; },
                               [](const NoJitter&) { return "none"; }},
                    jitter);
}

void RunOne(const Jitter& jitter, int burst, std::uint64_t seed,
            Totals& totals) {
  VirtualFleet fleet(seed);
  fleet.PutService(QuoteService());
  for (int i = 0; i < 2; ++i) {
    fleet.AddEntry(
        EntryPolicy::Builder(EntryIn("entry-" + std::to_string(i), "r", "z"))
            .jitter(jitter)
            .retry_base(milliseconds(16))
            .retry_percent(100)
            .retry_burst(1000)
            .max_attempts(6)
            .cell("")
            .Build());
  }
  for (int i = 0; i < 3; ++i) {
    fleet.AddAgent(
        AgentPolicy::Builder(AgentIn("executor-" + std::to_string(i), "r", "z"))
            .queue_limit(4)
            .Build(),
        {});
  }
  fleet.RunFor(seconds(10));
  for (int i = 0; i < kBursts; ++i) {
    for (int n = 0; n < burst; ++n) {
      fleet.SendRequest(static_cast<std::size_t>(n % 2), {});
    }
    totals.asked_ += burst;
    fleet.RunFor(milliseconds(500));
  }
  fleet.RunFor(seconds(3));
  totals.done_ += fleet.log().answered_done();
  for (std::size_t i = 0; i < 2; ++i) {
    totals.attempts_ += fleet.entry(i).counters_.Total(Counter::kAttemptsSent);
  }
  totals.latencies_.insert(totals.latencies_.end(), fleet.latencies().begin(),
                           fleet.latencies().end());
}

void Run(const Jitter& jitter, int burst) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunOne(jitter, burst, seed, totals);
  }
  std::sort(totals.latencies_.begin(), totals.latencies_.end());
  const auto at = [&](double share) {
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(totals.latencies_.size() - 1));
    return static_cast<double>(totals.latencies_[index].count()) / 1000.0;
  };
  std::printf(
      "burst %3d  jitter %s  done %6.2f %%  attempts a request %.3f  "
      "p50 %5.1f  p99 %6.1f ms\n",
      burst, NameOf(jitter),
      100.0 * static_cast<double>(totals.done_) /
          static_cast<double>(totals.asked_),
      static_cast<double>(totals.attempts_) /
          static_cast<double>(totals.asked_),
      at(0.5), at(0.99));
}

}  // namespace
}  // namespace quetzalline

int main() {
  for (const int burst : {60, 120, 200}) {
    for (const quetzalline::Jitter& jitter :
         {quetzalline::Jitter(quetzalline::HalfJitter()),
          quetzalline::Jitter(quetzalline::FullJitter()),
          quetzalline::Jitter(quetzalline::NoJitter())}) {
      quetzalline::Run(jitter, burst);
    }
  }
  return 0;
}
