#include "systems/agent/track_entries.h"

#include <algorithm>
#include <vector>

namespace quetzalline {
namespace {

void OpenLink(ConnectionId connection, EntryLinkTable& links, Instant now) {
  links.Put(connection, EntryLink::Builder()
                            .connection(connection)
                            .last_heard(now)
                            .next_heartbeat(now)
                            .Build());
}

// Extends the lease on tasks. The lease starts when the heartbeat was sent, not
// when its reply arrived, so a delay of the reply can only shorten it. Replies
// that grant no lease (epoch zero), replies with a lower epoch than the highest
// one seen, and replies to any heartbeat but the last, are ignored.
void ExtendTaskLease(const HeartbeatReply& reply, const EntryLink& link,
                     AgentStage& stage) {
  if (reply.epoch() == 0 || reply.epoch() < stage.epoch()) return;
  if (reply.echo() != link.sent_sequence()) return;
  const Instant lease_end = link.sent_at() + reply.task_lease();
  stage = AgentStage::Builder(stage)
              .epoch(reply.epoch())
              .task_lease_end(std::max(stage.task_lease_end(), lease_end))
              .Build();
}

void HandleHeartbeatReply(const Received<HeartbeatReply>& received,
                          AgentTables& tables, Instant now) {
  const EntryLink* link = tables.links_.Find(received.connection_);
  if (link == nullptr) return;
  const HeartbeatReply& reply = received.message_;
  ExtendTaskLease(reply, *link, tables.stage_);
  tables.links_.Put(received.connection_, EntryLink::Builder(*link)
                                              .entry(reply.entry())
                                              .incarnation(reply.incarnation())
                                              .epoch(reply.epoch())
                                              .last_heard(now)
                                              .Build());
}

// Returns the connections on which no heartbeat reply has arrived after
// `cutoff`.
std::vector<ConnectionId> UnresponsiveLinks(const EntryLinkTable& links,
                                            Instant cutoff) {
  std::vector<ConnectionId> unresponsive;
  for (const auto& [connection, link] : links) {
    if (link.last_heard() <= cutoff) unresponsive.push_back(connection);
  }
  return unresponsive;
}

}  // namespace

void TrackEntries(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick) {
  for (const ConnectionId opened : inbox.opened_) {
    OpenLink(opened, tables.links_, tick.now());
  }
  for (const ConnectionId closed : inbox.closed_) tables.links_.Erase(closed);
  for (const Received<HeartbeatReply>& received : inbox.heartbeat_replies_) {
    HandleHeartbeatReply(received, tables, tick.now());
  }
  const Duration timeout = tables.policy_.entry_silence();
  for (const ConnectionId unresponsive :
       UnresponsiveLinks(tables.links_, tick.now() - timeout)) {
    tables.links_.Erase(unresponsive);
    tick.counters().Add(Counter::kEntriesSilent);
    tick.Emit(CloseConnection::Builder().connection(unresponsive).Build());
  }
  for (const auto& [connection, link] : tables.links_) {
    tick.WakeAt(link.last_heard() + timeout);
  }
}

}  // namespace quetzalline
