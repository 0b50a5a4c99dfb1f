#ifndef QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_

#include <string>

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Reads every key under a prefix.
void ReadStore(const std::string& prefix, const StorePurpose& purpose,
               EntryTables& tables, EntryTick& tick);

/// Reads every key under a prefix once one of them changes.
void WatchStore(const std::string& prefix, std::int64_t after,
                const StorePurpose& purpose, EntryTables& tables,
                EntryTick& tick);

/// Writes one key if its index is the expected one; zero expects no key.
void WriteStore(const std::string& key, const StoreRecord& record,
                std::int64_t expected, const StorePurpose& purpose,
                EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_CALL_STORE_H_
