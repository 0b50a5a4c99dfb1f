#ifndef QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Maintains the table of endpoints: applies and answers heartbeats, ignores
/// those that are out of order or from an earlier incarnation, and marks
/// endpoints as unreachable that missed their heartbeats or whose connection
/// closed.
void TrackEndpoints(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_
