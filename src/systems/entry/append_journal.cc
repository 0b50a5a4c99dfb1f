#include "systems/entry/append_journal.h"

#include <vector>

#include "systems/entry/call_store.h"
#include "systems/entry/divide_journal_entry.h"
#include "systems/entry/journal_slots.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

void WriteSnapshot(EntryTables& tables, EntryTick& tick) {
  const StoreRecord snapshot = CellSnapshot::Builder()
                                   .sequence(tables.cell_.sequence())
                                   .epoch(tables.cell_.epoch())
                                   .nonce(tables.policy_.incarnation())
                                   .tasks(SnapshotTasks(tables))
                                   .Build();
  tick.counters().Add(Counter::kSnapshotWrites);
  tables.cell_ =
      CellHolding::Builder(tables.cell_).snapshot_pending(true).Build();
  WriteStore(SnapshotKey(tables.policy_.cell()), snapshot,
             tables.cell_.snapshot_index(),
             SnapshotWrite::Builder().sequence(tables.cell_.sequence()).Build(),
             tables, tick);
}

void WriteSnapshotIfDue(EntryTables& tables, EntryTick& tick) {
  const std::uint64_t behind =
      tables.cell_.sequence() - tables.cell_.snapshot_sequence();
  if (tables.cell_.snapshot_pending() || behind < SlotCount(tables) / 2) return;
  if (tick.now() < tables.cell_.next_write()) {
    return tick.WakeAt(tables.cell_.next_write());
  }
  WriteSnapshot(tables, tick);
}

// Returns true if the next slot may be overwritten, that is, once the snapshot
// covers the entry stored in it.
bool NextSlotIsFree(const EntryTables& tables) {
  const std::uint64_t next = tables.cell_.sequence() + 1;
  return next - tables.cell_.snapshot_sequence() <= SlotCount(tables);
}

void WriteNextEntry(EntryTables& tables, EntryTick& tick) {
  if (tables.journal_.in_flight() || tables.journal_.waiting() == 0) return;
  if (!NextSlotIsFree(tables)) return;
  if (tick.now() < tables.cell_.next_write()) {
    return tick.WakeAt(tables.cell_.next_write());
  }
  tables.journal_.SetInFlight(
      JournalEntry::Builder()
          .sequence(tables.cell_.sequence() + 1)
          .epoch(tables.cell_.epoch())
          .nonce(tables.policy_.incarnation())
          .records(tables.journal_.Take(tables.journal_.entry_limit()))
          .Build());
  tables.cell_ = CellHolding::Builder(tables.cell_)
                     .next_write(tick.now() + tables.policy_.journal_interval())
                     .Build();
  WriteInFlight(tables, tick);
}

}  // namespace

void WriteInFlight(EntryTables& tables, EntryTick& tick) {
  const JournalEntry& entry = *tables.journal_.in_flight();
  const std::size_t slot = SlotOf(entry, tables);
  tick.counters().Add(Counter::kJournalWrites);
  WriteStore(JournalSlotKey(tables.policy_.cell(), slot), entry,
             tables.cell_.slot_indexes()[slot], JournalWrite(), tables, tick);
}

void ReadBackInFlight(EntryTables& tables, EntryTick& tick) {
  tables.cell_ =
      CellHolding::Builder(tables.cell_).check_at(std::nullopt).Build();
  const std::size_t slot = SlotOf(*tables.journal_.in_flight(), tables);
  ReadStore(JournalSlotKey(tables.policy_.cell(), slot), JournalCheck(), tables,
            tick);
}

void SealJournal(EntryTables& tables, EntryTick& tick) {
  const std::uint64_t epoch = tables.cell_.epoch() + 1;
  tables.cell_ =
      CellHolding::Builder(tables.cell_).epoch(epoch).stage(Sealing()).Build();
  const CellSealed seal = CellSealed::Builder()
                              .epoch(epoch)
                              .holder(tables.policy_.entry())
                              .nonce(tables.policy_.incarnation())
                              .Build();
  tables.journal_.Clear();
  tables.journal_.SetInFlight(JournalEntry::Builder()
                                  .sequence(tables.cell_.sequence() + 1)
                                  .epoch(epoch)
                                  .nonce(tables.policy_.incarnation())
                                  .records({seal})
                                  .Build());
  WriteInFlight(tables, tick);
}

void AppendJournal(EntryTables& tables, EntryTick& tick) {
  if (!IsActive(tables)) return;
  if (tables.cell_.check_at()) {
    if (tick.now() >= *tables.cell_.check_at()) ReadBackInFlight(tables, tick);
    tick.WakeAt(tables.cell_.check_at());
    return;
  }
  if (IsSealing(tables)) return;
  WriteSnapshotIfDue(tables, tick);
  WriteNextEntry(tables, tick);
}

}  // namespace quetzalline
