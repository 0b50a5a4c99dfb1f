#include "systems/entry/choose_endpoint.h"

#include <algorithm>

namespace quetzalline {
namespace {

// Expected slowdown from interference between requests at a fully loaded
// endpoint, as a fraction of the service time. It spreads load before queues
// form.
constexpr double kInterferenceSlowdown = 0.5;
// Weight of the queueing time when it is compared with the network cost of
// another region. A queued request also delays those behind it, so its wait
// counts more than once.
constexpr double kWaitWeight = 4.0;
// Fraction of its full speed that a new endpoint is credited with when its slow
// start begins.
constexpr double kInitialSlowStartFraction = 0.25;

struct Candidate {
  EndpointId id_;
  Duration expected_;
};

double ToMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

// Estimates the number of requests at an endpoint. The reported load loses
// weight as the report ages; requests sent by this entry count in full.
double EstimateRequests(const Endpoint& row, const EntryPolicy& policy,
                        Instant now) {
  const double half_life = ToMicroseconds(policy.report_half_life());
  const double age = ToMicroseconds(now - row.load_at());
  const double weight = half_life / (half_life + age);
  const double reported = row.load().running() + row.load().queued();
  const double outstanding = row.outstanding();
  return std::max(outstanding, weight * reported + row.sent_since_report());
}

double SlowStartFraction(const Endpoint& row, const EntryPolicy& policy,
                         Instant now) {
  const Duration age = now - row.first_seen();
  if (age >= policy.slow_start()) return 1.0;
  const double progress =
      ToMicroseconds(age) / ToMicroseconds(policy.slow_start());
  return kInitialSlowStartFraction +
         (1.0 - kInitialSlowStartFraction) * progress;
}

Duration NetworkCost(const Endpoint& row, const EntryPolicy& policy) {
  const Location& there = row.announced()->location();
  const Location& here = policy.location();
  if (there.region() != here.region()) return policy.region_cost();
  if (there.zone() != here.zone()) return policy.zone_cost();
  return Duration::zero();
}

std::optional<Candidate> BestOfSample(const EndpointTable::Group& group,
                                      const Request& request,
                                      const EntryTables& tables, Instant now,
                                      Random& random) {
  std::optional<Candidate> best;
  if (group.empty()) return best;
  const auto last = static_cast<std::int64_t>(group.size()) - 1;
  for (std::int32_t i = 0; i < tables.policy_.sample_size(); ++i) {
    const EndpointId& id =
        group[static_cast<std::size_t>(UniformInt(random, last))];
    const Endpoint& row = *tables.endpoints_.Find(id);
    if (row.rested_until() > now) continue;
    if (id == request.last_endpoint() && group.size() > 1) continue;
    const Duration expected = ExpectedAnswerTime(row, tables.policy_, now);
    if (!best || expected < best->expected_) best = Candidate{id, expected};
  }
  return best;
}

// Returns the first usable endpoint from a random start. It scans all
// endpoints, because random draws can miss the few that are usable.
std::optional<Candidate> FirstUsable(const EndpointTable::Group& group,
                                     const EntryTables& tables, Instant now,
                                     Random& random) {
  if (group.empty()) return std::nullopt;
  const auto last = static_cast<std::int64_t>(group.size()) - 1;
  const auto start = static_cast<std::size_t>(UniformInt(random, last));
  for (std::size_t i = 0; i < group.size(); ++i) {
    const EndpointId& id = group[(start + i) % group.size()];
    const Endpoint& row = *tables.endpoints_.Find(id);
    if (row.rested_until() > now) continue;
    return Candidate{id, ExpectedAnswerTime(row, tables.policy_, now)};
  }
  return std::nullopt;
}

std::optional<Candidate> BestInRegion(const Region& region,
                                      const Request& request,
                                      const EntryTables& tables, Instant now,
                                      Random& random) {
  const EndpointTable::Group& group =
      tables.endpoints_.Routable(request.service(), region);
  std::optional<Candidate> best =
      BestOfSample(group, request, tables, now, random);
  return best ? best : FirstUsable(group, tables, now, random);
}

bool LinkHasCapacity(const Request& request, const EntryTables& tables) {
  const auto bytes =
      static_cast<std::int64_t>(request.arrival()->request()->body().size());
  return tables.link_budget_.bytes() > bytes;
}

}  // namespace

Duration ExpectedAnswerTime(const Endpoint& row, const EntryPolicy& policy,
                            Instant now) {
  const Duration reported = row.load().service_time();
  const double service = ToMicroseconds(
      reported > Duration::zero() ? reported : policy.expected_service_time());
  const double slots = std::max(1, row.load().limit());
  const double requests = EstimateRequests(row, policy, now);
  const double wait = std::max(0.0, requests + 1.0 - slots) / slots;
  const double interference =
      kInterferenceSlowdown * std::min(1.0, requests / slots);
  const double failures = 1.0 + row.failures();
  const double time = service * (1.0 + interference + kWaitWeight * wait) *
                      failures / SlowStartFraction(row, policy, now);
  return Duration(static_cast<std::int64_t>(time)) + NetworkCost(row, policy);
}

std::optional<EndpointId> ChooseEndpoint(const Request& request,
                                         const EntryTables& tables, Instant now,
                                         Random& random) {
  const Region& here = tables.policy_.location().region();
  std::optional<Candidate> best =
      BestInRegion(here, request, tables, now, random);
  const bool local_is_fast_enough =
      best && best->expected_ <= tables.policy_.region_cost();
  if (local_is_fast_enough) return best->id_;
  for (const Region& region : tables.endpoints_.RegionsOf(request.service())) {
    if (region == here) continue;
    if (!LinkHasCapacity(request, tables)) break;
    const std::optional<Candidate> remote =
        BestInRegion(region, request, tables, now, random);
    if (remote && (!best || remote->expected_ < best->expected_)) best = remote;
  }
  if (!best) return std::nullopt;
  return best->id_;
}

}  // namespace quetzalline
