#ifndef QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Acts on journal entries once they are durable. An append whose answer was
/// lost is read back before anything else is decided; one that lost its slot to
/// another holder ends this process's time as holder.
void CommitJournal(const EntryInbox& inbox, EntryTables& tables,
                   EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_COMMIT_JOURNAL_H_
