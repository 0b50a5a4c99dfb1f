#ifndef QUETZALLINE_SYSTEMS_ENTRY_REPLAY_JOURNAL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_REPLAY_JOURNAL_H_

#include "messages/store_values.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Rebuilds the tasks of the cell from its snapshot and the journal entries
/// that follow it.
void ReplayJournal(const StoreValues& values, EntryTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_REPLAY_JOURNAL_H_
