#include "systems/scheduler/reconcile_tasks.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/runner_majority.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_lost_workers.h"

namespace quetzalline {
namespace {

// Without reports from a majority of runners, a new holder waits this long
// before it treats unresponsive runners as lost.
constexpr Duration kMaxReconcileTime = std::chrono::milliseconds(9000);

// Returns true if a majority of runners follows this holder.
bool IsFollowedByMajority(const SchedulerTables& tables) {
  return HasRunnerMajority(tables, [](const MemberName&, const MemberRow& row) {
    return row.connection() && row.answered();
  });
}

// Returns true if none of the tasks of unknown state can be running on the
// worker.
bool IsKnown(const MemberName& name, const WorkerRow& worker,
             const SchedulerTables& tables) {
  return worker.reconciled() || tables.confirmed_lost_.count(name) > 0;
}

// Returns the time at which all leases granted by earlier holders have
// certainly expired; empty before a majority of the runners follows this one.
std::optional<Instant> EarlierLeasesExpireAt(const SchedulerTables& tables) {
  const std::optional<Instant> majority_since = tables.term_.majority_since();
  if (!majority_since) return std::nullopt;
  return *majority_since + kContactWindow +
         MaxLeaseDuration(tables.policy_.task_lease());
}

// Returns the time at which the lease that this holder granted to the worker
// has certainly expired; the earliest time if it granted none.
Instant LeaseEnd(const WorkerRow& worker, const SchedulerTables& tables) {
  if (worker.granted_at() == Instant()) return Instant();
  return worker.granted_at() + MaxLeaseDuration(tables.policy_.task_lease());
}

// Records that nothing runs on the workers of which this holder has heard
// nothing, so that the next one need not wait for them again.
void MarkUnansweredLost(SchedulerTables& tables, SchedulerTick& tick) {
  const std::optional<Instant> expire_at = EarlierLeasesExpireAt(tables);
  // A later holder may have renewed leases before the epoch was confirmed.
  if (!expire_at || tables.term_.confirmed_at() < *expire_at) return;
  for (const auto& [name, worker] : tables.workers_) {
    const bool granted = worker.granted_at() != Instant();
    if (granted || IsKnown(name, worker, tables)) continue;
    MarkConfirmedLost(name, tables, tick);
  }
}

void ReleaseTasks(SchedulerTables& tables, Instant now) {
  const std::set<TaskKey> unknown_tasks = tables.tasks_.unreconciled();
  std::set<std::pair<std::uint64_t, std::int32_t>> occurrences;
  for (const TaskKey& key : unknown_tasks) {
    const JobTask* task = tables.tasks_.Find(key);
    tables.tasks_.Put(
        key, JobTask::Builder(*task).stage(TaskStage::kBlocked).Build());
    occurrences.insert({key.job(), key.occurrence()});
  }
  for (const auto& [job, occurrence] : occurrences) {
    UnlockSteps(job, occurrence, now, tables);
  }
}

}  // namespace

void ReconcileTasks(SchedulerTables& tables, SchedulerTick& tick) {
  const auto* acting = std::get_if<HolderActing>(&tables.stage_);
  if (acting == nullptr || tables.term_.settled()) return;
  std::size_t runners = 0;
  std::size_t answered = 0;
  bool answer_due = false;
  Instant lease_end;
  for (const auto& [name, worker] : tables.workers_) {
    const MemberRow* member = tables.members_.Find(name);
    ++runners;
    const bool known = IsKnown(name, worker, tables);
    if (known) {
      ++answered;
      continue;
    }
    const bool silent = worker.listing() == RunListing::kNone;
    if (silent && member != nullptr && member->connection()) answer_due = true;
    lease_end = std::max(lease_end, LeaseEnd(worker, tables));
  }
  if (!tables.term_.majority_since() && IsFollowedByMajority(tables)) {
    tables.term_ =
        HolderTerm::Builder(tables.term_).majority_since(tick.now()).Build();
  }
  // A connected runner is expected to list its runs, even if both sides are
  // busy, so it gets twice the time.
  Instant resolved_at = acting->since() + (answer_due ? 2 * kMaxReconcileTime
                                                      : kMaxReconcileTime);
  if (const auto expire_at = EarlierLeasesExpireAt(tables)) {
    resolved_at = std::min(resolved_at, *expire_at);
  }
  resolved_at = std::max(resolved_at, lease_end);
  if (answered < runners) {
    if (tick.now() < resolved_at) return tick.WakeAt(resolved_at);
    // A later holder may have renewed the leases of the unresponsive runners.
    if (tables.term_.confirmed_at() < resolved_at) {
      ConfirmEpoch(tables, tick);
      return tick.WakeAt(tables.next_confirm_);
    }
  }
  tables.term_ = HolderTerm::Builder(tables.term_).settled(true).Build();
  LogLine(tick, "tasks-reconciled", 0,
          {Field("runners", runners), Field("answered", answered),
           Field("tasks", tables.tasks_.unreconciled().size())});
  MarkUnansweredLost(tables, tick);
  ReleaseTasks(tables, tick.now());
}

}  // namespace quetzalline
