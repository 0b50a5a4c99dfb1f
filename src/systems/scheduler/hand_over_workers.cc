#include "systems/scheduler/hand_over_workers.h"

#include <algorithm>
#include <utility>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/lease_end.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

// A connection that is opened again within this time needs no record, and the
// worker no commit before its next lease.
constexpr Duration kMinAbsence = std::chrono::milliseconds(600);
// The same for a worker that answered the previous holder. Most answer a new
// one within this time; a holder that is killed before it leaves no record.
constexpr Duration kMinInheritedAbsence = std::chrono::milliseconds(250);
// A record is written again when the leases have become shorter by this.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(1000);
// Limits the size of a commit; a longer list is left out.
constexpr std::size_t kMaxListedTasks = 512;

HandoverRow RowOf(const MemberName& name, const SchedulerTables& tables) {
  const HandoverRow* row = tables.handovers_.Find(name);
  return row == nullptr ? HandoverRow() : *row;
}

bool IsConfirmedLost(const MemberName& name, const SchedulerTables& tables) {
  return tables.confirmed_lost_.count(name) > 0 ||
         tables.confirmed_lost_changes_.count(name) > 0;
}

// Returns true if an end that the worker has listed is not stored yet.
bool HasUnstoredEnds(const MemberName& name, const SchedulerTables& tables,
                     const CommitBatch& batch) {
  const auto& ends = tables.unacknowledged_completions_;
  return std::any_of(
      ends.begin(), ends.end(), [&](const UnacknowledgedCompletion& end) {
        const bool in_batch = std::find(batch.jobs_.begin(), batch.jobs_.end(),
                                        end.job()) != batch.jobs_.end();
        return end.worker() == name && !in_batch;
      });
}

bool IsAbsent(const WorkerRow& worker) {
  return !worker.alive() || worker.silent();
}

// Follows whether the worker answers. A worker that does needs no record.
void UpdateAbsence(const MemberName& name, const WorkerRow& worker,
                   SchedulerTables& tables) {
  const HandoverRow row = RowOf(name, tables);
  const bool absent = IsAbsent(worker);
  HandoverRow::Builder builder(row);
  builder.absent_since(absent ? row.absent_since().value_or(tables.attention_)
                              : std::optional<Instant>());
  if (worker.reconciled()) builder.earlier_tasks(std::nullopt);
  const HandoverRow updated = builder.Build();
  if (updated != row) tables.handovers_.Put(name, updated);
  if (absent) return;
  if (row.recorded()) {
    tables.handover_changes_[name] = false;
  } else {
    tables.handover_changes_.erase(name);
  }
}

// Returns the time at which the record of an absent worker is to be written
// next; empty if there is nothing to write.
std::optional<Instant> NextRecordAt(const HandoverRow& row, Instant leases_end,
                                    Instant attention, Instant now) {
  if (!row.recorded()) {
    const Instant due_attention =
        *row.absent_since() +
        (row.earlier_end() ? kMinInheritedAbsence : kMinAbsence);
    return now + (due_attention - attention);
  }
  const Instant recorded_end = row.recorded_at() + row.remaining();
  if (leases_end > recorded_end) return now;
  if (row.remaining() == Duration()) return std::nullopt;
  return std::min(row.recorded_at() + kRefreshInterval, recorded_end);
}

void ScheduleRecord(const MemberName& name, SchedulerTables& tables,
                    SchedulerTick& tick) {
  const HandoverRow row = RowOf(name, tables);
  const std::optional<Instant> leases_end = AllLeasesEnd(name, tables);
  if (!row.absent_since() || !leases_end) return;
  const std::optional<Instant> write_at =
      NextRecordAt(row, *leases_end, tables.attention_, tick.now());
  if (!write_at) return;
  if (tick.now() < *write_at) return tick.WakeAt(*write_at);
  tables.handover_changes_[name] = true;
}

void AddRecord(const MemberName& name, Instant now, SchedulerTables& tables,
               CommitBatch& batch) {
  const std::optional<Instant> leases_end = AllLeasesEnd(name, tables);
  if (!leases_end || IsConfirmedLost(name, tables)) return;
  const Duration remaining = std::max(*leases_end - now, Duration());
  std::optional<std::set<TaskKey>> tasks = PossibleTasks(name, tables);
  if (tasks && (tasks->size() > kMaxListedTasks ||
                HasUnstoredEnds(name, tables, batch))) {
    tasks.reset();
  }
  WorkerHandover::Builder record;
  record.epoch(tables.term_.epoch())
      .absent(IsAbsent(*tables.workers_.Find(name)))
      .remaining(remaining)
      .complete(tasks.has_value());
  if (tasks) record.tasks({tasks->begin(), tasks->end()});
  batch.puts_.push_back(MakePut(HandoverKey(name), record.Build()));
  batch.handed_over_workers_.push_back(name);
  // From here on the store may contain the record, even if the commit fails.
  tables.handovers_.Put(name, HandoverRow::Builder(RowOf(name, tables))
                                  .recorded(true)
                                  .remaining(remaining)
                                  .recorded_at(now)
                                  .Build());
}

}  // namespace

void RestoreHandover(const MemberName& name, const WorkerHandover& record,
                     Instant seen_at, SchedulerTables& tables,
                     SchedulerTick& tick) {
  HandoverRow::Builder row;
  if (record.epoch() == tables.term_.epoch() - 1) {
    row.earlier_end(seen_at + record.remaining());
    const std::int64_t tasks =
        record.complete() ? static_cast<std::int64_t>(record.tasks().size())
                          : -1;
    LogLine(tick, "worker-handed-over", 0,
            {Field("member", name.value()),
             FieldMs("remaining_ms", seen_at + record.remaining() - tick.now()),
             Field("tasks", tasks)});
    // Written again at once, since this holder may be killed soon.
    if (record.absent()) row.absent_since(Instant());
    if (record.complete()) {
      row.earlier_tasks(
          std::set<TaskKey>(record.tasks().begin(), record.tasks().end()));
    }
  }
  row.recorded(record.epoch() == tables.term_.epoch());
  tables.handovers_.Put(name, row.Build());
}

std::optional<Instant> EarlierLeasesEnd(const MemberName& name,
                                        const SchedulerTables& tables) {
  const std::optional<Instant> recorded = RowOf(name, tables).earlier_end();
  const std::optional<Instant> majority_since = tables.term_.majority_since();
  if (!majority_since) return recorded;
  const Instant expired = *majority_since + kContactWindow +
                          MaxLeaseDuration(tables.policy_.task_lease());
  return recorded ? std::min(*recorded, expired) : expired;
}

std::optional<Instant> AllLeasesEnd(const MemberName& name,
                                    const SchedulerTables& tables) {
  const std::optional<Instant> earlier = EarlierLeasesEnd(name, tables);
  const WorkerRow* worker = tables.workers_.Find(name);
  if (!earlier || worker == nullptr) return std::nullopt;
  return std::max(*earlier, LeaseEnd(*worker, tables.policy_.task_lease()));
}

std::optional<std::set<TaskKey>> PossibleTasks(const MemberName& name,
                                               const SchedulerTables& tables) {
  const WorkerRow* worker = tables.workers_.Find(name);
  std::set<TaskKey> tasks = tables.tasks_.TasksOnWorker(name);
  const auto orphaned = tables.orphaned_runs_.find(name);
  if (orphaned != tables.orphaned_runs_.end()) {
    for (const RunKey& run : orphaned->second) tasks.insert(run.task());
  }
  if (worker != nullptr && worker->reconciled()) return tasks;
  const auto earlier = RowOf(name, tables).earlier_tasks();
  if (!earlier) return std::nullopt;
  tasks.insert(earlier->begin(), earlier->end());
  return tasks;
}

bool IsHandedOver(const MemberName& name, const SchedulerTables& tables) {
  const HandoverRow* row = tables.handovers_.Find(name);
  return row != nullptr && row->recorded();
}

void TrackAbsentWorkers(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tables.stopping_) return;
  for (const auto& [name, worker] : tables.workers_) {
    if (IsConfirmedLost(name, tables)) continue;
    if (!IsAbsent(worker) && tables.handovers_.Find(name) == nullptr) continue;
    UpdateAbsence(name, worker, tables);
    // While the store fails, a record would only delay a worker's return.
    if (!tables.store_failing_since_) ScheduleRecord(name, tables, tick);
  }
}

void HandOverAllWorkers(SchedulerTables& tables) {
  for (const auto& [name, worker] : tables.workers_) {
    if (!IsConfirmedLost(name, tables)) tables.handover_changes_[name] = true;
  }
}

void AddHandovers(std::size_t max_entries, Instant now, SchedulerTables& tables,
                  CommitBatch& batch) {
  auto& changes = tables.handover_changes_;
  // Those of absent workers come first, as a stopping holder may not have the
  // time for all.
  std::vector<MemberName> order;
  for (const auto& [name, written] : changes) order.push_back(name);
  std::stable_partition(order.begin(), order.end(), [&](const MemberName& n) {
    return RowOf(n, tables).absent_since().has_value();
  });
  for (const MemberName& name : order) {
    if (batch.puts_.size() + batch.removals_.size() >= max_entries) return;
    const bool written = changes[name];
    changes.erase(name);
    if (written) {
      AddRecord(name, now, tables, batch);
    } else {
      batch.removals_.push_back(HandoverKey(name));
      batch.returned_workers_.push_back(name);
    }
  }
}

void ApplyHandovers(const CommitBatch& batch, SchedulerTables& tables) {
  for (const MemberName& name : batch.returned_workers_) {
    tables.handovers_.Put(
        name,
        HandoverRow::Builder(RowOf(name, tables)).recorded(false).Build());
    GrantOverdueLease(name, tables);
  }
  if (!batch.returned_workers_.empty()) tables.placement_due_ = true;
}

}  // namespace quetzalline
