#ifndef QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_

#include <cstddef>
#include <cstdint>

#include "tables/entry_tables.h"

namespace quetzalline {

/// Returns the number of slots in the ring that stores the journal.
inline std::uint64_t SlotCount(const EntryTables& tables) {
  return static_cast<std::uint64_t>(tables.policy_.journal_slots());
}

/// Returns the slot that an entry is written to.
inline std::size_t SlotOf(const JournalEntry& entry,
                          const EntryTables& tables) {
  return static_cast<std::size_t>(entry.sequence() % SlotCount(tables));
}

/// Returns true while this process seals the journal.
inline bool IsSealing(const EntryTables& tables) {
  return std::holds_alternative<Sealing>(tables.cell_.stage());
}

/// Returns true if this process may have an entry in flight.
inline bool IsActive(const EntryTables& tables) {
  return std::holds_alternative<Holding>(tables.cell_.stage()) ||
         IsSealing(tables);
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_
