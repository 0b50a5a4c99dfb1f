#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_

#include "messages/worker_report.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Takes up what a runner says of its worker.
void TakeReport(ConnectionId connection, const WorkerReport& report,
                SchedulerTables& tables, SchedulerTick& tick);

/// Notes that a member spoke on this connection.
void HearMember(ConnectionId connection, SchedulerTables& tables, Instant now);

/// Renews the leases of the workers that reported in this tick, while this
/// process may still do so.
void GrantLeases(SchedulerTables& tables, SchedulerTick& tick);

/// Takes the work back from workers whose lease is surely over, and drops
/// connections that have gone silent.
void ExpireWorkers(SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
