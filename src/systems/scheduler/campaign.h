#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CAMPAIGN_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CAMPAIGN_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Follows who holds the cell, takes it when nobody does, and keeps it. The
/// store's lease only decides who should act; what makes an old holder harmless
/// is the epoch, which guards every commit and which runners compare.
void Campaign(SchedulerTables& tables, SchedulerTick& tick);

/// Gives the cell up at a planned stop, so that another process takes it at
/// once.
void ResignCell(SchedulerTables& tables, SchedulerTick& tick);

/// Forgets everything that belongs to the term and follows again.
void StepDown(std::string_view cause, SchedulerTables& tables,
              SchedulerTick& tick);

void TakeHolderRead(const KvsResult& result, Duration round_trip,
                    SchedulerTables& tables, SchedulerTick& tick);
void TakeHolderWatch(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick);
void TakeEpochRead(const KvsResult& result, SchedulerTables& tables,
                   SchedulerTick& tick);
void TakeHolderLease(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick);
void TakeClaim(const KvsResult& result, SchedulerTables& tables,
               SchedulerTick& tick);
void TakeRenewal(const KvsResult& result, SchedulerTables& tables,
                 SchedulerTick& tick);

/// How this process signs the holder's key.
std::string HolderSignature(const SchedulerPolicy& policy);

/// Whether the process holds the cell, be it still loading.
bool IsHolder(const SchedulerTables& tables);
/// Whether the process holds the cell and places work.
bool IsActing(const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CAMPAIGN_H_
