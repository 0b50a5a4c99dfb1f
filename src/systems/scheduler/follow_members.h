#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_FOLLOW_MEMBERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_FOLLOW_MEMBERS_H_

#include "messages/connection_closed.h"
#include "messages/kvs_result.h"
#include "messages/peer_connected.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Takes up a process that was announced in the store, and dials it.
void AddMember(const MemberName& name, const MemberRecord& record,
               SchedulerTables& tables, SchedulerTick& tick);

void WatchMembers(SchedulerTables& tables, SchedulerTick& tick);
void TakeMembersWatch(const KvsResult& result, SchedulerTables& tables,
                      SchedulerTick& tick);
void TakeMembersList(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick);

/// Opens a session with a member that was reached.
void ConnectMember(const PeerConnected& connected, SchedulerTables& tables,
                   SchedulerTick& tick);
void DisconnectMember(const ConnectionClosed& closed, SchedulerTables& tables,
                      SchedulerTick& tick);

void WatchConfiguration(SchedulerTables& tables, SchedulerTick& tick);
void TakeConfigurationWatch(const KvsResult& result, SchedulerTables& tables,
                            SchedulerTick& tick);

/// Repeats reads that failed, after a pause.
void RetryReads(SchedulerTables& tables, SchedulerTick& tick);

/// Tells entries that the holder lives.
void BeatEntries(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_FOLLOW_MEMBERS_H_
