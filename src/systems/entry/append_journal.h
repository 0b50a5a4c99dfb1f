#ifndef QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Writes queued records to the journal, with at most one entry in flight and a
/// bounded rate of entries, and writes a snapshot before the ring of slots is
/// full.
void AppendJournal(EntryTables& tables, EntryTick& tick);

/// Writes the entry in flight to its slot in the store, on condition that the
/// slot is unchanged since its index was last recorded.
void WriteInFlight(EntryTables& tables, EntryTick& tick);

/// Reads back the slot of the entry in flight, to find out whether the entry is
/// durable.
void ReadBackInFlight(EntryTables& tables, EntryTick& tick);

/// Starts to seal the journal with an epoch higher than every earlier one. The
/// epoch is the fencing token of the cell's holder, the process that has the
/// cell's leader lease.
void SealJournal(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_
