#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_

#include "messages/kvs_result.h"
#include "messages/worker_report.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Takes up what a runner says of its worker.
void TakeReport(ConnectionId connection, const WorkerReport& report,
                SchedulerTables& tables, SchedulerTick& tick);

/// Notes that a member spoke on this connection.
void HearMember(ConnectionId connection, SchedulerTables& tables, Instant now);

/// Whether this process may still grant leases and start work: most runners
/// spoke to it lately, or the store has just confirmed its epoch. Otherwise
/// another process may have been the holder for a while.
bool MayAct(const SchedulerTables& tables, Instant now);

/// Notices that the process stood still, after which messages that waited for
/// it are no sign of contact.
void NoticePause(SchedulerTables& tables, SchedulerTick& tick);

/// Renews the leases of the workers that reported in this tick, while this
/// process may still do so.
void GrantLeases(SchedulerTables& tables, SchedulerTick& tick);

/// Takes the work back from workers whose lease is surely over, and drops
/// connections that have gone silent.
void ExpireWorkers(SchedulerTables& tables, SchedulerTick& tick);

/// Lets tasks of an earlier term start again once no worker can still run them.
void SettleDoubt(SchedulerTables& tables, SchedulerTick& tick);

/// Learns from the epoch's key whether this process still holds the cell.
void TakeEpochCheck(const KvsResult& result, SchedulerTables& tables,
                    SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_WORKERS_H_
