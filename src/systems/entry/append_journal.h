#ifndef QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Writes waiting records to the journal, one entry at a time and a bounded
/// number of entries a second, and a snapshot before the ring of slots is full.
void AppendJournal(EntryTables& tables, EntryTick& tick);

/// Sends the entry in flight to the store.
void WriteInFlight(EntryTables& tables, EntryTick& tick);

/// Reads back the slot of the entry in flight.
void ReadBack(EntryTables& tables, EntryTick& tick);

/// Begins to seal the journal with an epoch above every earlier one.
void SealJournal(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_APPEND_JOURNAL_H_
