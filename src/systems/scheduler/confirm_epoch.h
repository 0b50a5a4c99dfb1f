#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// A holder of the cell's leader lease grants no worker leases and starts no
/// work if, within this time, neither a majority of runners has contacted it
/// nor the store has confirmed its epoch.
constexpr Duration kContactWindow = std::chrono::milliseconds(1000);

/// Returns true if this process may still grant leases and start work: a
/// majority of runners contacted it, or the store confirmed its epoch, within
/// kContactWindow. Otherwise another process may be the holder already.
bool MayAct(const SchedulerTables& tables, Instant now);

/// Detects that this process was stalled. Messages that were queued during the
/// stall do not prove that their senders still follow this holder, so contact
/// counts again only after kContactWindow.
void DetectStall(SchedulerTables& tables, SchedulerTick& tick);

/// Reads the epoch from the store, unless that was done within the last
/// confirmation interval.
void ConfirmEpoch(SchedulerTables& tables, SchedulerTick& tick);

/// Handles the read of the epoch's key: records the confirmation, or steps down
/// if the store shows another epoch.
void HandleEpochCheck(const KvsResult& result, SchedulerTables& tables,
                      SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_
