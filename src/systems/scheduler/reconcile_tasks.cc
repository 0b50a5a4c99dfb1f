#include "systems/scheduler/reconcile_tasks.h"

#include <algorithm>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/lease_end.h"
#include "systems/scheduler/runner_majority.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_lost_workers.h"
#include "systems/scheduler/track_workers.h"

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

// Returns the time at which nothing that an earlier holder started, and nothing
// under a lease of this one, can be running on the worker any more.
Instant WorkerResolvedAt(const MemberName& name, Instant acting_since,
                         const SchedulerTables& tables) {
  if (const auto leases_end = AllLeasesEnd(name, tables)) return *leases_end;
  const WorkerRow& worker = *tables.workers_.Find(name);
  const MemberRow* member = tables.members_.Find(name);
  // A connected runner is expected to list its runs, even if both sides are
  // busy, so it gets twice the time.
  const bool answer_due = worker.listing() == RunListing::kNone &&
                          member != nullptr && member->connection();
  const Instant without_majority =
      acting_since + (answer_due ? 2 * kMaxReconcileTime : kMaxReconcileTime);
  return std::max(without_majority,
                  LeaseEnd(worker, tables.policy_.task_lease()));
}

// Records that nothing runs on the workers of which this holder has heard
// nothing, so that the next one need not wait for them again.
void MarkUnansweredLost(SchedulerTables& tables, SchedulerTick& tick) {
  // Without a majority, an earlier holder may still grant leases.
  if (!tables.term_.majority_since()) return;
  for (const auto& [name, worker] : tables.workers_) {
    const bool granted = worker.granted_at() != Instant();
    if (granted || IsKnown(name, worker, tables)) continue;
    // A later holder may have renewed leases before the epoch was confirmed.
    if (tables.term_.confirmed_at() < *AllLeasesEnd(name, tables)) continue;
    MarkConfirmedLost(name, tables, tick);
  }
}

// Releases the tasks of unknown state that are not held back. Returns their
// number.
std::size_t ReleaseTasks(const std::set<TaskKey>& held, SchedulerTables& tables,
                         Instant now) {
  const std::set<TaskKey> unknown_tasks = tables.tasks_.unreconciled();
  std::set<std::pair<std::uint64_t, std::int32_t>> occurrences;
  std::size_t released = 0;
  for (const TaskKey& key : unknown_tasks) {
    if (held.count(key) > 0) continue;
    const JobTask* task = tables.tasks_.Find(key);
    tables.tasks_.Put(
        key, JobTask::Builder(*task).stage(TaskStage::kBlocked).Build());
    occurrences.insert({key.job(), key.occurrence()});
    ++released;
  }
  for (const auto& [job, occurrence] : occurrences) {
    UnlockSteps(job, occurrence, now, tables);
  }
  return released;
}

// Releases the tasks that can be on none of the unresolved workers.
void ReleaseOtherTasks(const std::vector<MemberName>& unresolved,
                       SchedulerTables& tables, SchedulerTick& tick) {
  std::set<TaskKey> held;
  for (const MemberName& name : unresolved) {
    const auto possible = PossibleTasks(name, tables);
    if (!possible) return;
    held.insert(possible->begin(), possible->end());
  }
  const std::size_t released = ReleaseTasks(held, tables, tick.now());
  if (released == 0) return;
  LogLine(tick, "tasks-released", 0,
          {Field("tasks", released), Field("unresolved", unresolved.size()),
           Field("tasks_in_doubt", tables.tasks_.unreconciled().size())});
}

// Returns the workers on which tasks of unknown state may be running.
std::vector<MemberName> UnresolvedWorkers(Instant acting_since,
                                          SchedulerTables& tables,
                                          SchedulerTick& tick) {
  std::vector<MemberName> unresolved;
  for (const auto& [name, worker] : tables.workers_) {
    if (IsKnown(name, worker, tables)) continue;
    const Instant resolved_at = WorkerResolvedAt(name, acting_since, tables);
    if (tick.now() < resolved_at) {
      tick.WakeAt(resolved_at);
    } else if (tables.term_.confirmed_at() < resolved_at) {
      // A later holder may have renewed the lease.
      ConfirmEpoch(tables, tick);
      tick.WakeAt(tables.next_confirm_);
    } else if (!MayStillAnswer(name, worker, tables)) {
      continue;
    }
    unresolved.push_back(name);
  }
  return unresolved;
}

std::size_t CountKnownWorkers(const SchedulerTables& tables) {
  std::size_t known = 0;
  for (const auto& [name, worker] : tables.workers_) {
    if (IsKnown(name, worker, tables)) ++known;
  }
  return known;
}

}  // namespace

void ReconcileTasks(SchedulerTables& tables, SchedulerTick& tick) {
  const auto* acting = std::get_if<HolderActing>(&tables.stage_);
  if (acting == nullptr) return;
  // A holder may be followed by a majority only after it has reconciled its
  // tasks; from then on it can tell when the leases of earlier holders end.
  if (!tables.term_.majority_since() && IsFollowedByMajority(tables)) {
    tables.term_ =
        HolderTerm::Builder(tables.term_).majority_since(tick.now()).Build();
  }
  if (tables.term_.settled()) return;
  const std::vector<MemberName> unresolved =
      UnresolvedWorkers(acting->since(), tables, tick);
  if (!unresolved.empty()) return ReleaseOtherTasks(unresolved, tables, tick);
  tables.term_ = HolderTerm::Builder(tables.term_).settled(true).Build();
  LogLine(tick, "tasks-reconciled", 0,
          {Field("runners", tables.workers_.size()),
           Field("answered", CountKnownWorkers(tables)),
           Field("tasks", tables.tasks_.unreconciled().size())});
  MarkUnansweredLost(tables, tick);
  ReleaseTasks({}, tables, tick.now());
}

}  // namespace quetzalline
