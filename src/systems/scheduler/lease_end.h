#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_

#include "core/ids.h"
#include "core/time.h"
#include "messages/worker_report.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns the time by which every lease that this holder has granted to the
/// worker, or whose foreign lease its runner has reported, has certainly
/// expired; unset if there is none.
Instant LeaseEnd(const WorkerRow& worker, Duration task_lease);

/// Keeps the end of the foreign leases that a worker's runner reports.
void RecordForeignLease(const MemberName& name, const WorkerReport& report,
                        SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_
