#ifndef QUETZALLINE_SYSTEMS_ENTRY_HANDLE_ANSWERS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_HANDLE_ANSWERS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Matches answers to attempts by id, never by order of arrival, and
/// acknowledges them. An answer to an attempt that is no longer open is counted
/// and has no other effect.
void HandleAnswers(const EntryInbox& inbox, EntryTables& tables,
                   EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_HANDLE_ANSWERS_H_
