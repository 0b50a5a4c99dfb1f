#include "systems/entry/route_requests.h"

#include <algorithm>
#include <optional>

#include "systems/entry/choose_endpoint.h"
#include "systems/entry/conclude_request.h"
#include "systems/entry/key_buckets.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

constexpr Duration kNoEndpointRetryAfter = std::chrono::seconds(1);

void RefuseNoEndpoint(const Request& request, EntryTables& tables,
                      EntryTick& tick) {
  const NotRun refusal = NotRun::Builder()
                             .reason(Reason::kNoEndpoint)
                             .retry_after(kNoEndpointRetryAfter)
                             .Build();
  ConcludeRequest(request, refusal, tables, tick);
}

bool IsUsable(const Endpoint* row) {
  return row != nullptr && row->reachable() &&
         row->announced()->state() == EndpointState::kActive;
}

void RefillLinkBudget(const EntryPolicy& policy, LinkBudget& budget,
                      Instant now) {
  const Duration elapsed = now - budget.refilled();
  const std::int64_t rate = policy.region_bytes_per_second();
  const std::int64_t earned =
      std::min(elapsed, Duration(std::chrono::seconds(1))).count() * rate /
      Duration(std::chrono::seconds(1)).count();
  budget = LinkBudget::Builder()
               .bytes(std::min(rate, budget.bytes() + earned))
               .refilled(now)
               .Build();
}

void ChargeLinkBudget(const Request& request, const Endpoint& row,
                      EntryTables& tables, EntryTick& tick) {
  const Region& region = row.announced()->location().region();
  if (region == tables.policy_.location().region()) return;
  const auto bytes =
      static_cast<std::int64_t>(request.arrival()->request()->body().size());
  tick.counters().Add(Counter::kCrossRegionAttempts);
  tick.counters().Add(Counter::kCrossRegionBytes, bytes);
  tables.link_budget_ = LinkBudget::Builder(tables.link_budget_)
                            .bytes(tables.link_budget_.bytes() - bytes)
                            .Build();
}

Submit MakeSubmit(const Request& request, const AttemptId& id, Instant now) {
  const CallerRequest& arrival = *request.arrival();
  return Submit::Builder()
      .attempt(id)
      .service(request.service())
      .caller(arrival.caller())
      .request(arrival.request())
      .lease(request.deadline() - now)
      .urgent(request.urgent())
      .key(arrival.key())
      .repeated(request.repeated())
      .Build();
}

void SendAttempt(const Request& request, const EndpointId& endpoint,
                 EntryTables& tables, EntryTick& tick) {
  const Endpoint row = *tables.endpoints_.Find(endpoint);
  const std::int32_t number = request.attempts() + 1;
  const AttemptId id = AttemptId::Builder()
                           .request(request.arrival()->id())
                           .number(number)
                           .Build();
  tables.attempts_.Put(Attempt::Builder()
                           .id(id)
                           .endpoint(endpoint)
                           .incarnation(row.announced()->incarnation())
                           .sent(tick.now())
                           .lease_end(request.deadline())
                           .Build());
  tables.requests_.Put(
      Request::Builder(request)
          .attempts(number)
          .last_endpoint(endpoint)
          .state(AttemptInFlight::Builder().attempt(number).Build())
          .Build());
  tables.endpoints_.Put(Endpoint::Builder(row)
                            .outstanding(row.outstanding() + 1)
                            .sent_since_report(row.sent_since_report() + 1)
                            .Build());
  ChargeLinkBudget(request, row, tables, tick);
  tick.counters().Add(Counter::kAttemptsSent);
  SendMessage(row.connection(), MakeSubmit(request, id, tick.now()), tick);
}

// Chooses the endpoint for a key and queues the key's registration. The
// endpoint is chosen only once; the store then records it with the key.
void RegisterKey(const Request& request, EntryTables& tables, EntryTick& tick) {
  const std::optional<EndpointId> choice =
      ChooseEndpoint(request, tables, tick.now(), tick.random());
  if (!choice) return RefuseNoEndpoint(request, tables, tick);
  tables.requests_.Put(Request::Builder(request)
                           .key_endpoint(*choice)
                           .state(RegisteringKey())
                           .Build());
  const CallerRequest& arrival = *request.arrival();
  tables.key_buckets_.AddWaiting(BucketOf(arrival, tables.policy_),
                                 arrival.id());
}

void RouteKeyed(const Request& request, EntryTables& tables, EntryTick& tick) {
  if (!request.registered()) return RegisterKey(request, tables, tick);
  const EndpointId& endpoint = request.key_endpoint();
  if (IsUsable(tables.endpoints_.Find(endpoint))) {
    return SendAttempt(request, endpoint, tables, tick);
  }
  if (!request.repeated()) return RefuseNoEndpoint(request, tables, tick);
  const NotRun conflict =
      NotRun::Builder().reason(Reason::kKeyConflict).Build();
  ConcludeRequest(request, conflict, tables, tick);
}

void RouteRequest(const Request& request, EntryTables& tables,
                  EntryTick& tick) {
  if (!request.arrival()->key().empty()) {
    return RouteKeyed(request, tables, tick);
  }
  const std::optional<EndpointId> choice =
      ChooseEndpoint(request, tables, tick.now(), tick.random());
  if (!choice) return RefuseNoEndpoint(request, tables, tick);
  SendAttempt(request, *choice, tables, tick);
}

}  // namespace

void RouteRequests(EntryTables& tables, EntryTick& tick) {
  RefillLinkBudget(tables.policy_, tables.link_budget_, tick.now());
  for (const RequestId& id : tables.requests_.Ready(tick.now())) {
    const Request request = *tables.requests_.Find(id);
    RouteRequest(request, tables, tick);
  }
  tick.WakeAt(tables.requests_.NextTry());
}

}  // namespace quetzalline
