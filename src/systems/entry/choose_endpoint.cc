#include "systems/entry/choose_endpoint.h"

#include <algorithm>

namespace quetzalline {
namespace {

// Share of the service time that a full endpoint is expected to lose to the
// requests beside it; it spreads load before queues form.
constexpr double kCrowding = 0.5;
// A request that waits delays those behind it too, so that its wait counts
// more than once against the way to another region.
constexpr double kWaitWeight = 4.0;
// The share of its speed that a new endpoint is trusted with at first.
constexpr double kFirstTrust = 0.25;

struct Candidate {
  EndpointId id_;
  Duration expected_;
};

double ToMicroseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

// An old report counts less; what was sent from here counts in full.
double ExpectedJobs(const Endpoint& row, const EntryPolicy& policy,
                    Instant now) {
  const double half_life = ToMicroseconds(policy.report_half_life());
  const double age = ToMicroseconds(now - row.load_at());
  const double weight = half_life / (half_life + age);
  const double reported = row.load().running() + row.load().queued();
  const double outstanding = row.outstanding();
  return std::max(outstanding, weight * reported + row.sent_since_report());
}

double Trust(const Endpoint& row, const EntryPolicy& policy, Instant now) {
  const Duration age = now - row.first_seen();
  if (age >= policy.slow_start()) return 1.0;
  const double grown =
      ToMicroseconds(age) / ToMicroseconds(policy.slow_start());
  return kFirstTrust + (1.0 - kFirstTrust) * grown;
}

Duration NetworkCost(const Endpoint& row, const EntryPolicy& policy) {
  const Location& there = row.announced()->location();
  const Location& here = policy.location();
  if (there.region() != here.region()) return policy.region_cost();
  if (there.zone() != here.zone()) return policy.zone_cost();
  return Duration::zero();
}

std::optional<Candidate> BestOf(const EndpointTable::Group& group,
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

// Draws can miss the few endpoints that are able to serve; then all are looked
// at, from a random place on.
std::optional<Candidate> AnyOf(const EndpointTable::Group& group,
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
  std::optional<Candidate> best = BestOf(group, request, tables, now, random);
  return best ? best : AnyOf(group, tables, now, random);
}

bool LinkHasRoom(const Request& request, const EntryTables& tables) {
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
  const double jobs = ExpectedJobs(row, policy, now);
  const double wait = std::max(0.0, jobs + 1.0 - slots) / slots;
  const double crowding = kCrowding * std::min(1.0, jobs / slots);
  const double failures = 1.0 + row.failures();
  const double time = service * (1.0 + crowding + kWaitWeight * wait) *
                      failures / Trust(row, policy, now);
  return Duration(static_cast<std::int64_t>(time)) + NetworkCost(row, policy);
}

std::optional<EndpointId> ChooseEndpoint(const Request& request,
                                         const EntryTables& tables, Instant now,
                                         Random& random) {
  const Region& here = tables.policy_.location().region();
  std::optional<Candidate> best =
      BestInRegion(here, request, tables, now, random);
  const bool near_enough =
      best && best->expected_ <= tables.policy_.region_cost();
  if (near_enough) return best->id_;
  for (const Region& region : tables.endpoints_.RegionsOf(request.service())) {
    if (region == here) continue;
    if (!LinkHasRoom(request, tables)) break;
    const std::optional<Candidate> remote =
        BestInRegion(region, request, tables, now, random);
    if (remote && (!best || remote->expected_ < best->expected_)) best = remote;
  }
  if (!best) return std::nullopt;
  return best->id_;
}

}  // namespace quetzalline
