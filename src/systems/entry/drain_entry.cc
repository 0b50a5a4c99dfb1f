#include "systems/entry/drain_entry.h"

#include "systems/entry/maintain_cell_lease.h"

namespace quetzalline {
void DrainEntry(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick) {
  if (inbox.stop_requested_ && !tables.stage_.leaving()) {
    tables.stage_ = EntryStage::Builder()
                        .leaving(true)
                        .leave_at(tick.now() + tables.policy_.leave_delay())
                        .Build();
    tick.Emit(LogChange::Builder()
                  .event("entry-leaving")
                  .subject(tables.policy_.entry().value())
                  .Build());
    ReleaseCellLease(tables, tick);
  }
  if (!tables.stage_.leaving() || tables.stage_.finished()) return;
  if (tick.now() < tables.stage_.leave_at()) {
    return tick.WakeAt(tables.stage_.leave_at());
  }
  const bool busy = tables.requests_.size() > 0 || tables.attempts_.size() > 0;
  if (busy || tables.commands_.size() > 0) return;
  tables.stage_ = EntryStage::Builder(tables.stage_).finished(true).Build();
  tick.Emit(ProcessFinished());
}

}  // namespace quetzalline
