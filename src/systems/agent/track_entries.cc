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

// The lease counts from the sending of the heartbeat that is being replied to,
// so that a reply that is late can only shorten it.
void ExtendTaskLease(const HeartbeatReply& welcome, const EntryLink& link,
                     AgentStage& stage) {
  if (welcome.epoch() == 0 || welcome.epoch() < stage.epoch()) return;
  if (welcome.echo() != link.sent_sequence()) return;
  const Instant lease_end = link.sent_at() + welcome.task_lease();
  stage = AgentStage::Builder(stage)
              .epoch(welcome.epoch())
              .task_lease_end(std::max(stage.task_lease_end(), lease_end))
              .Build();
}

void TakeWelcome(const Received<HeartbeatReply>& received, AgentTables& tables,
                 Instant now) {
  const EntryLink* link = tables.links_.Find(received.connection_);
  if (link == nullptr) return;
  const HeartbeatReply& welcome = received.message_;
  ExtendTaskLease(welcome, *link, tables.stage_);
  tables.links_.Put(received.connection_,
                    EntryLink::Builder(*link)
                        .entry(welcome.entry())
                        .incarnation(welcome.incarnation())
                        .epoch(welcome.epoch())
                        .last_heard(now)
                        .Build());
}

std::vector<ConnectionId> SilentLinks(const EntryLinkTable& links,
                                      Instant heard_by) {
  std::vector<ConnectionId> silent;
  for (const auto& [connection, link] : links) {
    if (link.last_heard() <= heard_by) silent.push_back(connection);
  }
  return silent;
}

}  // namespace

void TrackEntries(const AgentInbox& inbox, AgentTables& tables,
                  AgentTick& tick) {
  for (const ConnectionId opened : inbox.opened_) {
    OpenLink(opened, tables.links_, tick.now());
  }
  for (const ConnectionId closed : inbox.closed_) tables.links_.Erase(closed);
  for (const Received<HeartbeatReply>& received : inbox.welcomes_) {
    TakeWelcome(received, tables, tick.now());
  }
  const Duration silence = tables.policy_.entry_silence();
  for (const ConnectionId silent :
       SilentLinks(tables.links_, tick.now() - silence)) {
    tables.links_.Erase(silent);
    tick.counters().Add(Counter::kEntriesSilent);
    tick.Emit(CloseConnection::Builder().connection(silent).Build());
  }
  for (const auto& [connection, link] : tables.links_) {
    tick.WakeAt(link.last_heard() + silence);
  }
}

}  // namespace quetzalline
