#ifndef QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Answers requests whose deadline has come. One that was never sent did not
/// run; for one that was sent the proof of that is awaited a little longer,
/// and then its outcome is unknown.
void ExpireRequests(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_EXPIRE_REQUESTS_H_
