#include "systems/entry/accept_requests.h"

#include <algorithm>
#include <optional>

#include "systems/entry/conclude_request.h"
#include "systems/entry/plan_retry.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

NotRun Refusal(Reason reason) {
  return NotRun::Builder().reason(reason).Build();
}

bool TableIsFull(const RequestTable& requests, const EntryPolicy& policy) {
  return static_cast<std::int64_t>(requests.size()) >= policy.max_requests() ||
         requests.bytes() >= policy.max_request_bytes();
}

// Returns the reason to refuse a request at admission, or nullopt if it is
// accepted.
std::optional<Reason> RefusalReason(const CallerRequest& arrival,
                                    const PublishedService* service,
                                    const EntryTables& tables, Instant now) {
  const bool stopped =
      tables.stage_.leaving() && now >= tables.stage_.leave_at();
  if (stopped) return Reason::kLeaving;
  if (service == nullptr) return Reason::kUnknownService;
  if (TableIsFull(tables.requests_, tables.policy_)) return Reason::kTableFull;
  const auto bytes =
      static_cast<std::int64_t>(arrival.request()->body().size());
  if (bytes > service->file().route().body_limit()) {
    return Reason::kBodyTooLarge;
  }
  return std::nullopt;
}

bool IsIdempotent(const Route& route, const std::string& method) {
  const std::vector<std::string>& methods = route.idempotent_methods();
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

Request MakeRequest(const CallerRequest& arrival, const ServiceFile& file,
                    Instant now) {
  const Route& route = file.route();
  const Duration allowed = arrival.deadline().value_or(route.deadline());
  return Request::Builder()
      .arrival(arrival)
      .service(file.name())
      .deadline(now + std::min(allowed, route.deadline()))
      .urgent(route.urgent())
      .idempotent(IsIdempotent(route, arrival.request()->method()))
      .state(AwaitingAttempt::Builder().not_before(now).Build())
      .Build();
}

void AcceptRequest(const CallerRequest& arrival, EntryTables& tables,
                   EntryTick& tick) {
  tick.counters().Add(Counter::kRequestsAccepted);
  const PublishedService* service =
      tables.services_.Match(arrival.host(), arrival.request()->target());
  const std::optional<Reason> refusal_reason =
      RefusalReason(arrival, service, tables, tick.now());
  if (refusal_reason) {
    const Request refused = Request::Builder().arrival(arrival).Build();
    return ConcludeRequest(refused, Refusal(*refusal_reason), tables, tick);
  }
  CreditRetryBudget(tables.policy_, tables.retry_budget_);
  tables.requests_.Put(MakeRequest(arrival, service->file(), tick.now()));
}

void CancelAttempt(const Attempt& attempt, EntryTables& tables,
                   EntryTick& tick) {
  tables.attempts_.Put(Attempt::Builder(attempt).cancelling(true).Build());
  const Endpoint* endpoint = tables.endpoints_.Find(attempt.endpoint());
  if (endpoint == nullptr) return;
  tick.counters().Add(Counter::kFetchesSent);
  SendMessage(
      endpoint->connection(),
      FetchOutcome::Builder().attempt(attempt.id()).cancel(true).Build(), tick);
}

// Abandons a request whose caller has disconnected. An open attempt is
// cancelled, but it counts against its endpoint until it has ended.
void AbandonRequest(const RequestId& id, EntryTables& tables, EntryTick& tick) {
  const Request* row = tables.requests_.Find(id);
  if (row == nullptr) return;
  const Request updated = Request::Builder(*row).abandoned(true).Build();
  const Attempt* attempt = tables.attempts_.FindByRequest(id);
  if (attempt == nullptr) {
    return ConcludeRequest(updated, Refusal(Reason::kCallerGone), tables, tick);
  }
  tables.requests_.Put(updated);
  const Attempt open = *attempt;
  CancelAttempt(open, tables, tick);
}

}  // namespace

void AcceptRequests(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick) {
  for (const CallerRequest& arrival : inbox.requests_) {
    AcceptRequest(arrival, tables, tick);
  }
  for (const RequestId& id : inbox.disconnected_callers_) {
    AbandonRequest(id, tables, tick);
  }
}

}  // namespace quetzalline
