#ifndef QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_

#include <string>

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Starts a read of every key under a prefix. The result arrives in a later
/// tick and is paired with `purpose`.
void ReadStore(const std::string& prefix, const StorePurpose& purpose,
               EntryTables& tables, EntryTick& tick);

/// Starts a read of every key under a prefix that completes once one of them
/// has changed since store index `after`.
void WatchStore(const std::string& prefix, std::int64_t after,
                const StorePurpose& purpose, EntryTables& tables,
                EntryTick& tick);

/// Starts a compare-and-swap write of one key. It takes effect only if the
/// key's store index equals `expected`; zero means that the key must not exist.
void WriteStore(const std::string& key, const StoreRecord& record,
                std::int64_t expected, const StorePurpose& purpose,
                EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_
