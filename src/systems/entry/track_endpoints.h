#ifndef QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Keeps the view of the endpoints: takes in heartbeats, ignores those that are
/// late or of an earlier incarnation, replies to each, and takes endpoints out
/// of use that are silent or whose connection closed.
void TrackEndpoints(const EntryInbox& inbox, EntryTables& tables,
                    EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_TRACK_ENDPOINTS_H_
