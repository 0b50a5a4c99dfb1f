#ifndef QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Applies journal entries once they are durable. An append whose result was
/// lost is read back before anything else is decided. If another holder of the
/// cell's leader lease has written the slot, this process steps down.
void CommitJournal(const EntryInbox& inbox, EntryTables& tables,
                   EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_
