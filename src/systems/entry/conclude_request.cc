#include "systems/entry/conclude_request.h"

#include <algorithm>
#include <optional>

#include "core/overloaded.h"
#include "systems/entry/key_buckets.h"
#include "systems/entry/plan_retry.h"

namespace quetzalline {
namespace {

constexpr std::int32_t kFailuresBeforeQuarantine = 3;
constexpr std::int32_t kMaxQuarantineShift = 5;
constexpr Duration kInitialQuarantine = std::chrono::milliseconds(500);

void CountOutcome(const AttemptOutcome& outcome, Counters& counters) {
  std::visit(
      Overloaded{[&](const Done&) { counters.Add(Counter::kRequestsDone); },
                 [&](const NotRun& not_run) {
                   counters.Add(Counter::kRequestsNotRun, not_run.reason());
                 },
                 [&](const Unknown& unknown) {
                   counters.Add(Counter::kRequestsUnknown, unknown.reason());
                 }},
      outcome);
}

// Returns the outcome over all attempts. If an earlier attempt may have run,
// the request is not reported as not run, regardless of its last attempt.
AttemptOutcome OverallOutcome(const Request& request,
                              const AttemptOutcome& last) {
  const auto* not_run = std::get_if<NotRun>(&last);
  if (not_run == nullptr || !request.may_have_run()) return last;
  return Unknown::Builder().reason(not_run->reason()).Build();
}

// Releases the idempotency key of a request that did not run: queues the
// removal of the key from its bucket in the store. A repeated request has no
// key of its own to release.
void ReleaseKey(const Request& request, EntryTables& tables) {
  if (!request.registered() || request.repeated()) return;
  const std::int32_t bucket = BucketOf(*request.arrival(), tables.policy_);
  tables.key_buckets_.AddRelease(bucket, request.arrival()->id());
}

bool IsEndpointFault(const AttemptOutcome& outcome) {
  const auto is_fault = [](Reason reason) {
    return reason == Reason::kEndpointUnreachable ||
           reason == Reason::kEndpointBroke ||
           reason == Reason::kEndpointSilent || reason == Reason::kLeaseLapsed;
  };
  return std::visit(
      Overloaded{[](const Done&) { return false; },
                 [&](const NotRun& n) { return is_fault(n.reason()); },
                 [&](const Unknown& u) { return is_fault(u.reason()); }},
      outcome);
}

// Records the result of an attempt. An endpoint that fails several attempts in
// a row is quarantined, each time for twice as long up to a limit; the first
// attempt after the quarantine serves as its probe.
void RecordResult(const Endpoint& row, const AttemptOutcome& outcome,
                  EntryTables& tables, EntryTick& tick) {
  Endpoint::Builder builder(row);
  builder.outstanding(std::max(0, row.outstanding() - 1));
  if (IsEndpointFault(outcome)) {
    const std::int32_t failures = row.failures() + 1;
    builder.failures(failures);
    if (failures >= kFailuresBeforeQuarantine) {
      const std::int32_t shift =
          std::min(failures - kFailuresBeforeQuarantine, kMaxQuarantineShift);
      builder.rested_until(tick.now() + kInitialQuarantine * (1 << shift));
      tick.counters().Add(Counter::kEndpointsRested);
    }
  } else if (std::holds_alternative<Done>(outcome)) {
    builder.failures(0);
  }
  tables.endpoints_.Put(std::move(builder).Build());
}

}  // namespace

void ConcludeRequest(const Request& request, const AttemptOutcome& last,
                     EntryTables& tables, EntryTick& tick) {
  const AttemptOutcome outcome = OverallOutcome(request, last);
  CountOutcome(outcome, tick.counters());
  if (std::holds_alternative<NotRun>(outcome)) {
    ReleaseKey(request, tables);
  }
  if (!request.abandoned()) {
    tick.Emit(AnswerCaller::Builder()
                  .id(request.arrival()->id())
                  .outcome(outcome)
                  .attempts(request.attempts())
                  .Build());
  }
  const RequestId id = request.arrival()->id();
  tables.requests_.Erase(id);
}

void ConcludeAttempt(const Attempt& attempt, const AttemptOutcome& outcome,
                     EntryTables& tables, EntryTick& tick) {
  const RequestId id = attempt.id().request();
  const Endpoint* endpoint = tables.endpoints_.Find(attempt.endpoint());
  if (endpoint != nullptr &&
      endpoint->announced()->incarnation() == attempt.incarnation()) {
    RecordResult(*endpoint, outcome, tables, tick);
  }
  const AttemptId ended = attempt.id();
  tables.attempts_.Erase(ended);
  const Request* row = tables.requests_.Find(id);
  if (row == nullptr) return;
  const Request request = *row;
  const std::optional<Instant> retry =
      PlanRetry(request, outcome, tables, tick);
  if (!retry) return ConcludeRequest(request, outcome, tables, tick);
  const bool may_have_run =
      request.may_have_run() || std::holds_alternative<Unknown>(outcome);
  tables.requests_.Put(
      Request::Builder(request)
          .may_have_run(may_have_run)
          .state(AwaitingAttempt::Builder().not_before(*retry).Build())
          .Build());
}

}  // namespace quetzalline
