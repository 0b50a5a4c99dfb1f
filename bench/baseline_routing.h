#ifndef QUETZALLINE_BENCH_BASELINE_ROUTING_H_
#define QUETZALLINE_BENCH_BASELINE_ROUTING_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

#include "core/overloaded.h"
#include "routing_scenario.h"

namespace quetzalline {

// Simulates a baseline policy: the entry alone chooses the endpoint, endpoints
// have unbounded queues, and a request that is not answered before its deadline
// counts as lost.
class BaselineSimulation {
 public:
  BaselineSimulation(const RoutingPolicy& policy, const Deployment& deployment,
                     const Scenario& scenario)
      : policy_(policy),
        deployment_(deployment),
        scenario_(scenario),
        random_(scenario.seed_ + 77),
        arrivals_(events_, scenario) {
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(
          std::make_unique<SimulatedEndpoint>(events_, i, scenario));
    }
    outstanding_.assign(kEntries, std::vector<int>(kEndpoints, 0));
    turns_.assign(kEntries, 0);
  }

  RunResult Run() {
    arrivals_.Start([this](int entry) { SendRequest(entry); });
    events_.RunUntil(Instant(kWarmUp + kRun + std::chrono::seconds(5)));
    return result_;
  }

 private:
  // Returns the endpoints that have not failed, as a health check would.
  std::vector<int> Candidates() const {
    std::vector<int> candidates;
    for (const auto& endpoint : endpoints_) {
      if (!endpoint->failed()) candidates.push_back(endpoint->number());
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
        Overloaded{[&](const QuetzallineRouting&) { return 0; },
                   [&](const RandomChoice&) {
                     return candidates[static_cast<std::size_t>(
                         UniformInt(random_, count - 1))];
                   },
                   [&](const RoundRobin&) {
                     return candidates[static_cast<std::size_t>(
                         turns_[entry]++ % count)];
                   },
                   [&](const LeastOutstanding&) {
                     const std::int64_t start = UniformInt(random_, count - 1);
                     return least([&](int i) {
                       return outstanding_[entry][i] +
                              static_cast<double>((i + start) % kEndpoints) /
                                  100.0;
                     });
                   },
                   [&](const OracleChoice&) {
                     return least([&](int i) {
                       const double network =
                           2.0 *
                           static_cast<double>(
                               DelayTo(*endpoints_[i], deployment_).count()) /
                           static_cast<double>(kServiceTime.count());
                       return endpoints_[i]->ExpectedServiceTimes() + network;
                     });
                   }},
        policy_);
  }

  void SendRequest(int entry) {
    const Instant sent_at = events_.now();
    const bool counted = sent_at > Instant(kWarmUp);
    if (counted) ++result_.asked_;
    const int chosen = Choose(entry);
    ++outstanding_[entry][chosen];
    const Duration delay = DelayTo(*endpoints_[chosen], deployment_);
    if (counted && endpoints_[chosen]->region() != 0) ++result_.cross_region_;
    events_.After(delay + deployment_.client_delay_, [=, this] {
      endpoints_[chosen]->Serve([=, this] {
        events_.After(delay + deployment_.client_delay_, [=, this] {
          --outstanding_[entry][chosen];
          const Duration latency = events_.now() - sent_at;
          if (!counted) return;
          if (latency > kDeadline) return;
          ++result_.done_;
          result_.latencies_.push_back(latency);
        });
      });
    });
  }

  RoutingPolicy policy_;
  Deployment deployment_;
  Scenario scenario_;
  Random random_;
  EventQueue events_;
  Arrivals arrivals_;
  std::vector<std::unique_ptr<SimulatedEndpoint>> endpoints_;
  std::vector<std::vector<int>> outstanding_;
  std::vector<std::int64_t> turns_;
  RunResult result_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_BENCH_BASELINE_ROUTING_H_
