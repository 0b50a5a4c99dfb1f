#ifndef QUETZALLINE_SYSTEMS_ENTRY_HOLD_CELL_H_
#define QUETZALLINE_SYSTEMS_ENTRY_HOLD_CELL_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Takes, renews and gives up the cell's lease. The lease only decides who
/// should place work; what makes it safe is the journal, which a new holder
/// reads and seals with a higher epoch before it acts.
void HoldCell(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

/// Gives the cell up on a planned stop, so that another process takes it at
/// once.
void ReleaseCell(EntryTables& tables, EntryTick& tick);

/// Stops acting for the cell. Commands that wait for the journal are answered
/// as unknown, for the entry that was being written may still take effect.
void StepDown(Reason reason, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_HOLD_CELL_H_
