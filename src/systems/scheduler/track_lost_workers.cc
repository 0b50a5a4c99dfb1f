#include "systems/scheduler/track_lost_workers.h"

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/hand_over_workers.h"

namespace quetzalline {
namespace {

// Returns true if a rejected commit has left a record of the worker that is
// still to be written.
bool IsRecordHeldBack(const MemberName& name, const SchedulerTables& tables) {
  const RejectedRecord* held = tables.rejected_records_.Find(
      MemberRecordUnit::Builder().member(name).Build());
  return held != nullptr && held->lost_change() == true;
}

}  // namespace

void MarkConfirmedLost(const MemberName& name, SchedulerTables& tables,
                       SchedulerTick& tick) {
  if (tables.confirmed_lost_.count(name) > 0) {
    tables.confirmed_lost_changes_.erase(name);
    return;
  }
  tables.handover_changes_.erase(name);
  LogLine(tick, "worker-confirmed-lost", 0, {Field("member", name.value())});
  tables.confirmed_lost_changes_[name] = true;
}

void RetractConfirmedLost(const MemberName& name, SchedulerTables& tables) {
  if (tables.confirmed_lost_.count(name) > 0 ||
      IsRecordHeldBack(name, tables)) {
    tables.confirmed_lost_changes_[name] = false;
  } else {
    tables.confirmed_lost_changes_.erase(name);
  }
}

void AddLostWorkerChanges(std::size_t max_entries, SchedulerTables& tables,
                          CommitBatch& batch) {
  auto& changes = tables.confirmed_lost_changes_;
  // A worker that is recorded as lost may need two entries.
  while (!changes.empty() &&
         batch.puts_.size() + batch.removals_.size() + 1 < max_entries) {
    const auto [name, lost] = *changes.begin();
    changes.erase(changes.begin());
    if (lost) {
      // From here on the store may contain the record, even if the commit
      // fails.
      tables.confirmed_lost_.insert(name);
      batch.lost_workers_.push_back(name);
      const MemberRecord record =
          MemberRecord::Builder().role(MemberRole::kRunner).Build();
      batch.puts_.push_back(MakePut(ConfirmedLostKey(name), record));
      if (IsHandedOver(name, tables)) {
        batch.removals_.push_back(HandoverKey(name));
        batch.returned_workers_.push_back(name);
      }
    } else {
      tables.stored_lost_.erase(name);
      batch.recovered_workers_.push_back(name);
      batch.removals_.push_back(ConfirmedLostKey(name));
    }
  }
}

void ApplyLostWorkerChanges(const CommitBatch& batch, SchedulerTables& tables) {
  for (const MemberName& name : batch.lost_workers_) {
    tables.stored_lost_.insert(name);
  }
  for (const MemberName& name : batch.recovered_workers_) {
    tables.confirmed_lost_.erase(name);
  }
  if (!batch.recovered_workers_.empty()) tables.placement_due_ = true;
}

}  // namespace quetzalline
