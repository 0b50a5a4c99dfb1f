// Compares policies for choosing an endpoint, in virtual time with fixed seeds.
// The scheduler's own policy and the usual baselines run under the same load,
// noisy neighbours and failures. Prints one line for each policy and scenario.
// Usage:
//   routing_policy [SEED]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

#include "baseline_routing.h"
#include "quetzalline_routing.h"
#include "routing_scenario.h"

namespace quetzalline {
namespace {

double Percentile(std::vector<Duration> sorted, double share) {
  if (sorted.empty()) return 0.0;
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index].count()) / 1000.0;
}

const char* NameOf(const RoutingPolicy& policy) {
  return std::visit(
      Overloaded{[](const QuetzallineRouting&) { return "quetzalline"; },
                 [](const RandomChoice&) { return "random"; },
                 [](const RoundRobin&) { return "round-robin"; },
                 [](const LeastOutstanding&) { return "least-outstanding"; },
                 [](const OracleChoice&) { return "oracle"; }},
      policy);
}

void Print(const Deployment& deployment, const std::string& scenario,
           double load, const RoutingPolicy& policy, RunResult result) {
  std::sort(result.latencies_.begin(), result.latencies_.end());
  const double goodput = static_cast<double>(result.done_) /
                         std::chrono::duration<double>(kRun).count();
  std::printf(
      "%-9s %-14s load %.2f  %-17s p50 %7.1f  p99 %7.1f  p99.9 %7.1f ms  "
      "goodput %6.0f/s  refused %5.2f %%  lost %5.2f %%  crossed %5.2f %%\n",
      deployment.name_, scenario.c_str(), load, NameOf(policy),
      Percentile(result.latencies_, 0.5), Percentile(result.latencies_, 0.99),
      Percentile(result.latencies_, 0.999), goodput,
      100.0 * static_cast<double>(result.refused_) /
          static_cast<double>(result.asked_),
      100.0 *
          static_cast<double>(result.asked_ - result.done_ - result.refused_) /
          static_cast<double>(result.asked_),
      100.0 * static_cast<double>(result.cross_region_) /
          static_cast<double>(result.asked_));
}

RunResult RunOne(const RoutingPolicy& policy, const Deployment& deployment,
                 const Scenario& scenario) {
  if (std::holds_alternative<QuetzallineRouting>(policy)) {
    return QuetzallineSimulation(deployment, scenario).Run();
  }
  return BaselineSimulation(policy, deployment, scenario).Run();
}

void RunAll(const Deployment& deployment, const std::string& name,
            const Scenario& scenario) {
  const std::vector<RoutingPolicy> policies{QuetzallineRouting(),
                                            RandomChoice(), RoundRobin(),
                                            LeastOutstanding(), OracleChoice()};
  std::vector<std::future<RunResult>> runs;
  for (const RoutingPolicy& policy : policies) {
    runs.push_back(std::async(std::launch::async, [&] {
      return RunOne(policy, deployment, scenario);
    }));
  }
  for (std::size_t i = 0; i < policies.size(); ++i) {
    Print(deployment, name, scenario.load_, policies[i], runs[i].get());
  }
}

void RunDeployment(const Deployment& deployment, std::uint64_t seed) {
  for (const double load : {0.3, 0.6, 0.8, 0.95, 1.3}) {
    RunAll(deployment, "calm", {.load_ = load, .seed_ = seed});
    RunAll(deployment, "waves",
           {.load_ = load, .noise_waves_ = true, .seed_ = seed});
  }
  RunAll(deployment, "slow-endpoint",
         {.load_ = 0.6, .slow_endpoint_ = true, .seed_ = seed});
  RunAll(deployment, "zone-gone",
         {.load_ = 0.6, .zone_failure_ = true, .seed_ = seed});
  RunAll(deployment, "stale-reports",
         {.load_ = 0.8,
          .noise_waves_ = true,
          .stale_reports_ = true,
          .seed_ = seed});
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
