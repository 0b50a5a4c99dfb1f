#ifndef QUETZALLINE_SYSTEMS_ENTRY_DIVIDE_JOURNAL_ENTRY_H_
#define QUETZALLINE_SYSTEMS_ENTRY_DIVIDE_JOURNAL_ENTRY_H_

#include <cstddef>
#include <vector>

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Handles an entry in flight that the store has rejected for its content, for
/// instance for its size. Its records are written again in two halves, and
/// halves of these, so that those at fault hold up no others. A record alone is
/// written without its checkpoint; the submission of a job is refused.
void DivideRejectedEntry(EntryTables& tables, EntryTick& tick);

/// Handles a snapshot that the store has rejected: the next one contains
/// checkpoints of half the size in all.
void ShrinkSnapshot(EntryTables& tables, EntryTick& tick);

/// Returns the tasks as a snapshot contains them. Checkpoints beyond the limit
/// are left out; such a task starts from its beginning if it is lost after a
/// change of the holder.
std::vector<Task> SnapshotTasks(const EntryTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_DIVIDE_JOURNAL_ENTRY_H_
