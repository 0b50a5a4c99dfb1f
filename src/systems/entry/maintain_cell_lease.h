#ifndef QUETZALLINE_SYSTEMS_ENTRY_MAINTAIN_CELL_LEASE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_MAINTAIN_CELL_LEASE_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Acquires, renews and releases the cell's leader lease; the process that has
/// it is the cell's holder. The lease only determines which process should
/// place tasks. Safety comes from the journal, which a new holder replays and
/// seals with a higher epoch before it acts.
void MaintainCellLease(const EntryInbox& inbox, EntryTables& tables,
                       EntryTick& tick);

/// Releases the cell's lease on a planned stop, so that another process can
/// acquire it at once.
void ReleaseCellLease(EntryTables& tables, EntryTick& tick);

/// Stops acting as holder. The outcome of commands that wait for the journal is
/// reported as unknown, because the entry in flight may still take effect.
void StepDown(Reason reason, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_MAINTAIN_CELL_LEASE_H_
