#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_

#include "messages/worker_report.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Handles a runner's report on its worker. Reports of an earlier session are
/// ignored.
void HandleReport(ConnectionId connection, const WorkerReport& report,
                  SchedulerTables& tables, SchedulerTick& tick);

/// Records that a member was heard on this connection.
void RecordMemberContact(ConnectionId connection, SchedulerTables& tables,
                         Instant now);

/// Returns true if the worker's agent may still say what became of the runs
/// whose lease has expired: which of them ended before, and which have lapsed.
/// An agent that reports tells it. One that has just connected, or that has
/// just lost its connection, is given the time to, measured by the attention of
/// this holder: what it has said may lie unread.
bool MayStillAnswer(const MemberName& name, const WorkerRow& worker,
                    const SchedulerTables& tables);

/// Lets the worker's lease be granted in this tick, although it has not just
/// reported, because what held the grant back is over.
void GrantOverdueLease(const MemberName& name, SchedulerTables& tables);

/// Renews the leases of the workers that reported in this tick if MayAct()
/// permits it; otherwise asks the store to confirm the epoch.
void GrantLeases(SchedulerTables& tables, SchedulerTick& tick);

/// Returns the tasks of workers whose lease has certainly expired to the queue,
/// and closes connections of unresponsive members.
void ExpireWorkers(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
