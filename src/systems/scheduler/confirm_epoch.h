#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// A holder that most runners have not spoken to for this long, and that the
/// store has not confirmed for this long, grants nothing.
constexpr Duration kContactWindow = std::chrono::milliseconds(1000);

/// Whether this process may still grant leases and start work: most runners
/// spoke to it lately, or the store has just confirmed its epoch. Otherwise
/// another process may have been the holder for a while.
bool MayAct(const SchedulerTables& tables, Instant now);

/// Notices that the process stood still, after which messages that waited for
/// it are no sign of contact.
void NoticePause(SchedulerTables& tables, SchedulerTick& tick);

/// Asks the store for the epoch, unless that was done just now.
void ConfirmEpoch(SchedulerTables& tables, SchedulerTick& tick);

/// Learns from the epoch's key whether this process still holds the cell.
void TakeEpochCheck(const KvsResult& result, SchedulerTables& tables,
                    SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CONFIRM_EPOCH_H_
