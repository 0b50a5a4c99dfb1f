#include "systems/entry/commit_journal.h"

#include <algorithm>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/acknowledge_record.h"
#include "systems/entry/append_journal.h"
#include "systems/entry/apply_record.h"
#include "systems/entry/divide_journal_entry.h"
#include "systems/entry/journal_slots.h"
#include "systems/entry/maintain_cell_lease.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

void CommitEntry(std::int64_t index, EntryTables& tables, EntryTick& tick) {
  const JournalEntry entry = *tables.journal_.in_flight();
  tables.journal_.ClearInFlight();
  tables.journal_.LimitEntry(std::min(2 * tables.journal_.entry_limit(),
                                      JournalQueue::kMaxEntryRecords));
  std::vector<std::int64_t> indexes = tables.cell_.slot_indexes();
  indexes[SlotOf(entry, tables)] = index;
  CellHolding::Builder builder(tables.cell_);
  builder.sequence(entry.sequence()).slot_indexes(std::move(indexes));
  if (IsSealing(tables)) {
    builder.stage(Holding::Builder().since(tick.now()).Build());
    tick.counters().Add(Counter::kCellTakeovers);
    tick.Emit(LogChange::Builder()
                  .event("cell-taken")
                  .subject(tables.policy_.cell())
                  .Build());
  }
  tables.cell_ = std::move(builder).Build();
  tick.counters().Add(Counter::kJournalRecords,
                      static_cast<std::int64_t>(entry.records().size()));
  for (const JournalRecord& record : entry.records()) {
    ApplyRecord(record, tables.tasks_, tick.now());
    AcknowledgeRecord(record, tables, tick);
  }
}

void HandleWriteResult(const StoreResult& result, EntryTables& tables,
                       EntryTick& tick) {
  if (!IsActive(tables) || !tables.journal_.in_flight()) return;
  const Overloaded handle{
      [&](const StoreWritten& written) {
        CommitEntry(written.index(), tables, tick);
      },
      // Either another write took the slot, or this one did and its result was
      // lost.
      [&](const StoreConflict&) { ReadBackInFlight(tables, tick); },
      [&](const StoreFailed& failed) {
        if (failed.reason() == Reason::kRecordRejected) {
          return DivideRejectedEntry(tables, tick);
        }
        tick.counters().Add(Counter::kStoreFailures);
        ReadBackInFlight(tables, tick);
      },
      [](const StoreValues&) {},
  };
  std::visit(handle, result);
}

void ResolveReadBack(const StoreValues& values, EntryTables& tables,
                     EntryTick& tick) {
  const JournalEntry& sent = *tables.journal_.in_flight();
  const std::size_t slot = SlotOf(sent, tables);
  const std::string key = JournalSlotKey(tables.policy_.cell(), slot);
  std::int64_t found_index = 0;
  bool is_own = false;
  for (const StoreItem& item : values.items()) {
    if (item.key() != key) continue;
    found_index = item.index();
    const auto* entry = std::get_if<JournalEntry>(&*item.record());
    is_own = entry != nullptr && *entry == sent;
  }
  if (is_own) return CommitEntry(found_index, tables, tick);
  const bool is_unchanged = found_index == tables.cell_.slot_indexes()[slot];
  if (is_unchanged) return WriteInFlight(tables, tick);
  StepDown(Reason::kStaleEpoch, tables, tick);
}

void HandleReadBackResult(const StoreResult& result, EntryTables& tables,
                          EntryTick& tick) {
  if (!IsActive(tables) || !tables.journal_.in_flight()) return;
  const Overloaded handle{
      [&](const StoreValues& values) { ResolveReadBack(values, tables, tick); },
      [&](const StoreFailed&) {
        tick.counters().Add(Counter::kStoreFailures);
        const Instant retry_at = tick.now() + tables.policy_.store_retry();
        tables.cell_ =
            CellHolding::Builder(tables.cell_).check_at(retry_at).Build();
      },
      [](const StoreWritten&) {},
      [](const StoreConflict&) {},
  };
  std::visit(handle, result);
}

void HandleSnapshotResult(const SnapshotWrite& write, const StoreResult& result,
                          EntryTables& tables, EntryTick& tick) {
  if (!IsActive(tables) || !tables.cell_.snapshot_pending()) return;
  const Overloaded handle{
      [&](const StoreWritten& written) {
        tables.cell_ = CellHolding::Builder(tables.cell_)
                           .snapshot_index(written.index())
                           .snapshot_sequence(write.sequence())
                           .snapshot_pending(false)
                           .Build();
      },
      [&](const StoreConflict&) { StepDown(Reason::kConflict, tables, tick); },
      // The outcome is unknown, and the snapshot is written again. If the first
      // write took effect, the second conflicts, this process steps down, and
      // the next holder reads the snapshot with the whole journal.
      [&](const StoreFailed& failed) {
        if (failed.reason() == Reason::kRecordRejected) {
          ShrinkSnapshot(tables, tick);
        }
        tick.counters().Add(Counter::kStoreFailures);
        tables.cell_ =
            CellHolding::Builder(tables.cell_)
                .snapshot_pending(false)
                .next_write(tick.now() + tables.policy_.store_retry())
                .Build();
      },
      [](const StoreValues&) {},
  };
  std::visit(handle, result);
}

void HandleStoreResult(const CompletedStoreCall& call, EntryTables& tables,
                       EntryTick& tick) {
  if (std::holds_alternative<JournalWrite>(call.purpose_)) {
    HandleWriteResult(call.result_, tables, tick);
  }
  if (std::holds_alternative<JournalCheck>(call.purpose_)) {
    HandleReadBackResult(call.result_, tables, tick);
  }
  if (const auto* write = std::get_if<SnapshotWrite>(&call.purpose_)) {
    HandleSnapshotResult(*write, call.result_, tables, tick);
  }
}

}  // namespace

void CommitJournal(const EntryInbox& inbox, EntryTables& tables,
                   EntryTick& tick) {
  for (const CompletedStoreCall& call : inbox.completed_store_calls_) {
    HandleStoreResult(call, tables, tick);
  }
}

}  // namespace quetzalline
