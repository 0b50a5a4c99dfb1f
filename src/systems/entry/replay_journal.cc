#include "systems/entry/replay_journal.h"

#include <algorithm>
#include <map>
#include <vector>

#include "core/overloaded.h"
#include "systems/entry/apply_record.h"
#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

// Holds the records of a cell as read from the store.
struct StoredCell {
  CellSnapshot snapshot_;
  std::int64_t snapshot_index_ = 0;
  std::map<std::uint64_t, JournalEntry> entries_;
  std::vector<std::int64_t> slot_indexes_;
};

StoredCell CollectRecords(const StoreValues& values, std::int32_t slots) {
  StoredCell cell;
  cell.slot_indexes_.resize(static_cast<std::size_t>(slots));
  for (const StoreItem& item : values.items()) {
    const Overloaded collect{
        [](const PublishedService&) {},
        [&](const JournalEntry& entry) {
          const std::size_t slot =
              entry.sequence() % static_cast<std::uint64_t>(slots);
          cell.slot_indexes_[slot] = item.index();
          cell.entries_.emplace(entry.sequence(), entry);
        },
        [&](const CellSnapshot& snapshot) {
          cell.snapshot_ = snapshot;
          cell.snapshot_index_ = item.index();
        },
        [](const CellLease&) {},
        [](const KeyBucket&) {},
    };
    std::visit(collect, *item.record());
  }
  return cell;
}

}  // namespace

void ReplayJournal(const StoreValues& values, EntryTables& tables,
                   Instant now) {
  const StoredCell cell =
      CollectRecords(values, tables.policy_.journal_slots());
  tables.tasks_.Clear();
  for (const Task& task : cell.snapshot_.tasks()) {
    LoadTask(task, tables.tasks_, now);
  }
  std::uint64_t sequence = cell.snapshot_.sequence();
  std::uint64_t epoch = cell.snapshot_.epoch();
  for (auto next = cell.entries_.find(sequence + 1);
       next != cell.entries_.end(); next = cell.entries_.find(sequence + 1)) {
    for (const JournalRecord& record : next->second.records()) {
      ApplyRecord(record, tables.tasks_, now);
    }
    epoch = std::max(epoch, next->second.epoch());
    sequence = next->first;
  }
  tables.cell_ = CellHolding::Builder(tables.cell_)
                     .epoch(epoch)
                     .sequence(sequence)
                     .slot_indexes(cell.slot_indexes_)
                     .snapshot_index(cell.snapshot_index_)
                     .snapshot_sequence(cell.snapshot_.sequence())
                     .snapshot_pending(false)
                     .Build();
}

}  // namespace quetzalline
