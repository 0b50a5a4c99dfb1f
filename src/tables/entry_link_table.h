#ifndef QUETZALLINE_TABLES_ENTRY_LINK_TABLE_H_
#define QUETZALLINE_TABLES_ENTRY_LINK_TABLE_H_

#include "core/ids.h"
#include "core/table.h"
#include "tables/entry_link.h"

namespace quetzalline {

/// The agent's open connections to entries.
using EntryLinkTable = Table<ConnectionId, EntryLink>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENTRY_LINK_TABLE_H_
