#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_OBSERVE_HANDOVERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_OBSERVE_HANDOVERS_H_

#include "messages/kvs_item.h"
#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Watches the handover records while another process holds the cell, so that
/// this one knows how much of their time has run when it takes over. The time
/// between two holders then counts, too.
void ObserveHandovers(SchedulerTables& tables, SchedulerTick& tick);

/// Handles a list of the records or the result of a watch on them.
void HandleObservedHandovers(const KvsResult& result, SchedulerTables& tables,
                             SchedulerTick& tick);

/// Returns true if this process has seen every record since it was written
/// whose time can still run.
bool HasObservedHandovers(const SchedulerTables& tables, Instant now);

/// Returns the time at which this process first saw the record in its present
/// revision; `now` if it has not seen it before.
Instant FirstSeenAt(const KvsItem& item, Instant now,
                    const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_OBSERVE_HANDOVERS_H_
