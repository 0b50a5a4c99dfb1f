#ifndef QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Registers idempotency keys in the store before their requests run. All keys
/// of one bucket that wait are written together, by compare-and-swap; of two
/// requests with one key, whichever is registered first may run, at whatever
/// entry they arrive. While the store is away no keyed request runs.
void RegisterKeys(const EntryInbox& inbox, EntryTables& tables,
                  EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_REGISTER_KEYS_H_
