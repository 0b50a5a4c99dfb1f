#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_

#include <string>
#include <string_view>
#include <vector>

#include "messages/kvs_items.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Reads one key of the key-value store. The purpose selects the handler of the
/// result.
void GetKey(std::string_view key, const KvsPurpose& purpose,
            SchedulerTables& tables, SchedulerTick& tick);
/// Reads every key under a prefix.
void ListKeys(std::string_view prefix, const KvsPurpose& purpose,
              SchedulerTables& tables, SchedulerTick& tick);
/// Waits up to `wait` for changes under a prefix that are later than the
/// revision `after`.
void WatchKeys(std::string_view prefix, std::int64_t after, Duration wait,
               const KvsPurpose& purpose, SchedulerTables& tables,
               SchedulerTick& tick);
/// Writes and removes several keys in one transaction, which fails with a
/// conflict unless all expectations hold.
void CommitKeys(std::vector<KvsPrecondition> expectations,
                std::vector<KvsPut> puts, std::vector<std::string> removals,
                const KvsPurpose& purpose, SchedulerTables& tables,
                SchedulerTick& tick);
/// Opens a store lease that expires unless it is renewed within `time`.
void OpenLease(Duration time, const KvsPurpose& purpose,
               SchedulerTables& tables, SchedulerTick& tick);
/// Renews a store lease.
void RenewLease(std::uint64_t lease, const KvsPurpose& purpose,
                SchedulerTables& tables, SchedulerTick& tick);

/// Returns a write of one key. The key is removed when `lease` ends; 0 means
/// that it is bound to no lease.
KvsPut MakePut(std::string key, KvsRecord record, std::uint64_t lease = 0);

/// Returns the holder record in the first item of a read, or null if there is
/// none.
const HolderRecord* HolderRecordIn(const KvsItems& read);

/// Counts and logs a stored value that nothing can be done with.
void ReportOddItem(const KvsItem& item, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CALL_KVS_H_
