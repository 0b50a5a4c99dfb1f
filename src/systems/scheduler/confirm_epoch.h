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

/// Records when no majority of the runners is in contact. What a majority
/// permits then needs a confirmation by the store first.
void TrackMajority(SchedulerTables& tables, SchedulerTick& tick);

/// Detects that this process was stalled. Messages that were queued during the
/// stall do not prove that their senders still follow this holder, so contact
/// counts again only after kContactWindow.
void DetectStall(SchedulerTables& tables, SchedulerTick& tick);

/// Reads the epoch from the store, unless that was done within the last
/// confirmation interval.
void ConfirmEpoch(SchedulerTables& tables, SchedulerTick& tick);

/// Handles the read of the epoch's key that was sent at `asked_at`: records the
/// confirmation, or steps down if the store shows another epoch.
void HandleEpochCheck(const KvsResult& result, Instant asked_at,
                      SchedulerTables& tables, SchedulerTick& tick);

/// Records that the store has confirmed the epoch by the answer to a call that
/// was sent at `asked_at`. The answer may have waited to be read, so it proves
/// nothing about a later time.
void ConfirmEpochAt(Instant asked_at, SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_
