#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_MEMBERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_MEMBERS_H_

#include "messages/connection_closed.h"
#include "messages/kvs_result.h"
#include "messages/peer_connected.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Adds a process that was announced in the store and connects to it. A known
/// member with a changed record is disconnected first.
void AddMember(const MemberName& name, const MemberRecord& record,
               SchedulerTables& tables, SchedulerTick& tick);

/// Watches the store for announced members.
void WatchMembers(SchedulerTables& tables, SchedulerTick& tick);
/// Handles the result of a watch on the members; a failed one is retried after
/// a delay.
void HandleMembersWatch(const KvsResult& result, SchedulerTables& tables,
                        SchedulerTick& tick);
/// Handles a list of all members and watches for changes after it.
void HandleMembersList(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick);

/// Opens a new session with a connected member. Closes the connection if the
/// member is unknown or this process does not act as the holder of the cell's
/// leader lease.
void ConnectMember(const PeerConnected& connected, SchedulerTables& tables,
                   SchedulerTick& tick);
/// Records that a member's connection was closed. Reports of its worker count
/// again only after a new session has listed the worker's runs.
void DisconnectMember(const ConnectionClosed& closed, SchedulerTables& tables,
                      SchedulerTick& tick);

/// Watches the store for a new configuration.
void WatchConfiguration(SchedulerTables& tables, SchedulerTick& tick);
/// Handles the result of a read or watch of the configuration, and applies a
/// newer version.
void HandleConfigurationWatch(const KvsResult& result, SchedulerTables& tables,
                              SchedulerTick& tick);

/// Repeats failed reads of members and configuration after a delay.
void RetryReads(SchedulerTables& tables, SchedulerTick& tick);

/// Sends heartbeats with the holder's epoch to the entries.
void SendEntryHeartbeats(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_MEMBERS_H_
