#include "systems/entry/expire_requests.h"

#include "systems/entry/conclude_request.h"

namespace quetzalline {
namespace {

void ExpireRequest(const Request& request, EntryTables& tables,
                   EntryTick& tick) {
  if (std::holds_alternative<AttemptInFlight>(request.state())) return;
  const NotRun expired =
      NotRun::Builder().reason(Reason::kDeadlinePassed).Build();
  ConcludeRequest(request, expired, tables, tick);
}

}  // namespace

void ExpireRequests(EntryTables& tables, EntryTick& tick) {
  for (const RequestId& id : tables.requests_.Expired(tick.now())) {
    const Request request = *tables.requests_.Find(id);
    ExpireRequest(request, tables, tick);
  }
  const Duration grace = tables.policy_.answer_grace();
  const Unknown no_answer =
      Unknown::Builder().reason(Reason::kDeadlinePassed).Build();
  for (const AttemptId& id :
       tables.attempts_.LeaseEndedBy(tick.now() - grace)) {
    const Attempt attempt = *tables.attempts_.Find(id);
    ConcludeAttempt(attempt, no_answer, tables, tick);
  }
  tick.WakeAt(tables.requests_.NextDeadline());
  if (tables.attempts_.NextLeaseEnd()) {
    tick.WakeAt(*tables.attempts_.NextLeaseEnd() + grace);
  }
}

}  // namespace quetzalline
