#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_

#include <string>
#include <string_view>
#include <vector>

#include "messages/kvs_items.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Reads one key.
void GetKey(std::string_view key, const KvsPurpose& purpose,
            SchedulerTables& tables, SchedulerTick& tick);
/// Reads every key under a prefix.
void ListKeys(std::string_view prefix, const KvsPurpose& purpose,
              SchedulerTables& tables, SchedulerTick& tick);
/// Waits for changes under a prefix.
void WatchKeys(std::string_view prefix, std::int64_t after, Duration wait,
               const KvsPurpose& purpose, SchedulerTables& tables,
               SchedulerTick& tick);
/// Changes several keys if the expectations hold.
void CommitKeys(std::vector<KvsPrecondition> expectations,
                std::vector<KvsPut> puts, std::vector<std::string> removals,
                const KvsPurpose& purpose, SchedulerTables& tables,
                SchedulerTick& tick);
void OpenLease(Duration time, const KvsPurpose& purpose,
               SchedulerTables& tables, SchedulerTick& tick);
void RenewLease(std::uint64_t lease, const KvsPurpose& purpose,
                SchedulerTables& tables, SchedulerTick& tick);

/// A write of one key.
KvsPut PutOf(std::string key, KvsRecord record, std::uint64_t lease = 0);

/// The holder that the first item of a read names; null where it is none.
const HolderRecord* HolderIn(const KvsItems& read);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_
