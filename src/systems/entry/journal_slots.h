#ifndef QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_

#include <cstddef>
#include <cstdint>

#include "tables/entry_tables.h"

namespace quetzalline {

/// The slots of the ring in which the journal is kept.
inline std::uint64_t Slots(const EntryTables& tables) {
  return static_cast<std::uint64_t>(tables.policy_.journal_slots());
}

inline std::size_t SlotOf(const JournalEntry& entry,
                          const EntryTables& tables) {
  return static_cast<std::size_t>(entry.sequence() % Slots(tables));
}

/// Whether the journal is being sealed by this process.
inline bool IsSealing(const EntryTables& tables) {
  return std::holds_alternative<Sealing>(tables.cell_.stage());
}

/// Whether this process may have an entry in flight.
inline bool IsActive(const EntryTables& tables) {
  return std::holds_alternative<Holding>(tables.cell_.stage()) ||
         IsSealing(tables);
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_JOURNAL_SLOTS_H_
