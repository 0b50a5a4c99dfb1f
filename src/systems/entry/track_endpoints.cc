#include "systems/entry/track_endpoints.h"

#include "core/reflect.h"
#include "systems/entry/conclude_request.h"
#include "systems/entry/grant_task_lease.h"
#include "systems/entry/send_message.h"

namespace quetzalline {
namespace {

void LogEndpoint(std::string event, const EndpointId& id, Reason reason,
                 EntryTick& tick) {
  tick.Emit(LogChange::Builder()
                .event(std::move(event))
                .subject(id.value())
                .reason(reason)
                .Build());
}

void MarkDisconnected(const EntryInbox& inbox, EndpointTable& endpoints,
                      EntryTick& tick) {
  for (const ConnectionId closed : inbox.closed_connections_) {
    const Endpoint* row = endpoints.FindByConnection(closed);
    if (row == nullptr || !row->reachable()) continue;
    const EndpointId id = row->announced()->endpoint();
    endpoints.Put(Endpoint::Builder(*row).reachable(false).Build());
    LogEndpoint("endpoint-unreachable", id, Reason::kConnectionLost, tick);
  }
}

bool IsStale(const Endpoint& row, const Announce& announce) {
  const Announce& previous = *row.announced();
  if (announce.incarnation() != previous.incarnation()) {
    return announce.incarnation() < previous.incarnation();
  }
  return announce.sequence() <= previous.sequence();
}

// Concludes the attempts at earlier incarnations as unknown; their answers can
// no longer be fetched.
void ConcludeLostAttempts(const Announce& announce, EntryTables& tables,
                          EntryTick& tick) {
  const Unknown lost =
      Unknown::Builder().reason(Reason::kAgentReplaced).Build();
  for (const AttemptId& id :
       tables.attempts_.AttemptsOfEndpoint(announce.endpoint())) {
    const Attempt attempt = *tables.attempts_.Find(id);
    if (attempt.incarnation() == announce.incarnation()) continue;
    ConcludeAttempt(attempt, lost, tables, tick);
  }
}

// Fetches the open attempts by their ids after a change of connection.
void FetchAttempts(const Announce& announce, ConnectionId connection,
                   const AttemptTable& attempts, EntryTick& tick) {
  for (const AttemptId& id : attempts.AttemptsOfEndpoint(announce.endpoint())) {
    const bool cancel = attempts.Find(id)->cancelling();
    tick.counters().Add(Counter::kFetchesSent);
    SendMessage(connection,
                FetchOutcome::Builder().attempt(id).cancel(cancel).Build(),
                tick);
  }
}

Endpoint NewRow(const Received<Announce>& received, Instant now) {
  return Endpoint::Builder()
      .announced(received.message_)
      .load(received.message_.load())
      .load_at(now)
      .connection(received.connection_)
      .reachable(true)
      .first_seen(now)
      .last_seen(now)
      .Build();
}

Endpoint RefreshedRow(const Endpoint& old, const Received<Announce>& received,
                      Instant now) {
  return Endpoint::Builder(old)
      .announced(received.message_)
      .load(received.message_.load())
      .load_at(now)
      .connection(received.connection_)
      .reachable(true)
      .last_seen(now)
      .sent_since_report(0)
      .Build();
}

void AddEndpoint(const Received<Announce>& received, EntryTables& tables,
                 EntryTick& tick) {
  const Announce& announce = received.message_;
  tables.endpoints_.Put(NewRow(received, tick.now()));
  tick.counters().Add(Counter::kEndpointsJoined);
  LogEndpoint("endpoint-joined", announce.endpoint(), Reason::kNone, tick);
}

void ReplaceEndpoint(const Received<Announce>& received, EntryTables& tables,
                     EntryTick& tick) {
  const Announce& announce = received.message_;
  ConcludeLostAttempts(announce, tables, tick);
  const Endpoint* old = tables.endpoints_.Find(announce.endpoint());
  tables.endpoints_.Put(Endpoint::Builder(NewRow(received, tick.now()))
                            .task_lease_end(old->task_lease_end())
                            .Build());
  tick.counters().Add(Counter::kEndpointsReplaced);
  LogEndpoint("endpoint-replaced", announce.endpoint(), Reason::kNone, tick);
}

void RefreshEndpoint(const Received<Announce>& received, const Endpoint& old,
                     EntryTables& tables, EntryTick& tick) {
  const Announce& announce = received.message_;
  const bool reconnected =
      old.connection() != received.connection_ || !old.reachable();
  const EndpointState state = old.announced()->state();
  tables.endpoints_.Put(RefreshedRow(old, received, tick.now()));
  if (reconnected) {
    FetchAttempts(announce, received.connection_, tables.attempts_, tick);
    LogEndpoint("endpoint-reachable", announce.endpoint(), Reason::kNone, tick);
  }
  if (state == announce.state()) return;
  LogEndpoint("endpoint-" + ToString(announce.state()), announce.endpoint(),
              Reason::kNone, tick);
}

void HandleAnnounce(const Received<Announce>& received, EntryTables& tables,
                    EntryTick& tick) {
  const Announce& announce = received.message_;
  tick.counters().Add(Counter::kAnnouncesReceived);
  const Endpoint* old = tables.endpoints_.Find(announce.endpoint());
  if (old != nullptr && IsStale(*old, announce)) {
    tick.counters().Add(Counter::kAnnouncesStale);
    return;
  }
  if (old == nullptr) {
    AddEndpoint(received, tables, tick);
  } else if (old->announced()->incarnation() != announce.incarnation()) {
    ReplaceEndpoint(received, tables, tick);
  } else {
    const Endpoint before = *old;
    RefreshEndpoint(received, before, tables, tick);
  }
  tables.endpoints_.CheckAt(announce.endpoint(),
                            tick.now() + tables.policy_.endpoint_lapse());
  SendMessage(
      received.connection_,
      HeartbeatReply::Builder()
          .entry(tables.policy_.entry())
          .incarnation(tables.policy_.incarnation())
          .echo(announce.sequence())
          .leaving(tables.stage_.leaving())
          .epoch(GrantTaskLease(announce.endpoint(), tables, tick.now()))
          .task_lease(tables.policy_.task_lease())
          .Build(),
      tick);
}

void CheckHeartbeat(const EndpointId& id, EntryTables& tables,
                    EntryTick& tick) {
  const Endpoint row = *tables.endpoints_.Find(id);
  const EntryPolicy& policy = tables.policy_;
  if (row.reachable()) {
    tables.endpoints_.Put(Endpoint::Builder(row).reachable(false).Build());
    tick.counters().Add(Counter::kEndpointsLapsed);
    tick.Emit(CloseConnection::Builder().connection(row.connection()).Build());
    LogEndpoint("endpoint-lapsed", id, Reason::kHeartbeatMissed, tick);
  }
  const Instant forget_at = row.last_seen() + policy.endpoint_forget();
  if (tick.now() < forget_at) {
    tables.endpoints_.CheckAt(id, forget_at);
    return;
  }
  const bool in_use = !tables.attempts_.AttemptsOfEndpoint(id).empty() ||
                      !tables.tasks_.AssignedTo(id).empty();
  if (!in_use) return tables.endpoints_.Erase(id);
  tables.endpoints_.CheckAt(id, tick.now() + policy.endpoint_forget());
}

}  // namespace

void TrackEndpoints(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick) {
  MarkDisconnected(inbox, tables.endpoints_, tick);
  for (const Received<Announce>& received : inbox.announces_) {
    HandleAnnounce(received, tables, tick);
  }
  for (const EndpointId& id : tables.endpoints_.DueForCheck(tick.now())) {
    CheckHeartbeat(id, tables, tick);
  }
  tick.WakeAt(tables.endpoints_.NextCheck());
}

}  // namespace quetzalline
