#ifndef QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Registers idempotency keys in the store before their requests run. All
/// waiting keys of a bucket are written together by compare-and-swap. Of two
/// requests with the same key, the one that is registered first may run,
/// regardless of the entries at which they arrive. While the store is
/// unavailable, no request with an idempotency key runs.
void RegisterKeys(const EntryInbox& inbox, EntryTables& tables,
                  EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_
