// Compares ways to choose an endpoint, in virtual time and with fixed seeds:
// the project's own and the usual baselines run under the same load, waves of
// noise and faults. Prints one line for each way and each load.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

#include "baseline_routing.h"
#include "own_routing.h"
#include "routing_scenario.h"

namespace quetzalline {
namespace {

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
