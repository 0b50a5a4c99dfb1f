#include "systems/scheduler/settle_doubt.h"

#include <algorithm>

#include "systems/cell/lease_bound.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/open_job.h"

namespace quetzalline {
namespace {

// A new holder that few runners answer waits this long before it takes the
// silent ones for lost.
constexpr Duration kLongestDoubt = std::chrono::milliseconds(9000);

}  // namespace

void SettleDoubt(SchedulerTables& tables, SchedulerTick& tick) {
  const auto* acting = std::get_if<HolderActing>(&tables.stage_);
  if (acting == nullptr || tables.term_.settled()) return;
  std::size_t runners = 0;
  std::size_t reported = 0;
  std::size_t answered = 0;
  bool answer_due = false;
  for (const auto& [name, worker] : tables.workers_) {
    const MemberRow* member = tables.members_.Find(name);
    ++runners;
    if (worker.reported()) ++reported;
    const bool sure =
        worker.reported() || tables.confirmed_lost_.count(name) > 0;
    if (sure) ++answered;
    if (!sure && member != nullptr && member->connection()) answer_due = true;
  }
  if (2 * reported > runners && !tables.term_.majority_since()) {
    tables.term_ =
        HolderTerm::Builder(tables.term_).majority_since(tick.now()).Build();
  }
  // A runner that was reached lists its runs soon, however busy both are.
  Instant sure_at =
      acting->since() + (answer_due ? 2 * kLongestDoubt : kLongestDoubt);
  if (tables.term_.majority_since()) {
    sure_at =
        std::min(sure_at, *tables.term_.majority_since() + kContactWindow +
                              LeaseBound(tables.policy_.task_lease()));
  }
  if (answered < runners) {
    if (tick.now() < sure_at) return tick.WakeAt(sure_at);
    // A later holder may have renewed the leases of the silent ones.
    if (tables.term_.confirmed_at() < sure_at) {
      ConfirmEpoch(tables, tick);
      return tick.WakeAt(tables.next_confirm_);
    }
  }
  tables.term_ = HolderTerm::Builder(tables.term_).settled(true).Build();
  LogLine(tick, "tasks-settled", 0,
          {Field("runners", runners), Field("answered", answered),
           Field("tasks", tables.tasks_.unreconciled().size())});
  const std::set<TaskKey> unreconciled = tables.tasks_.unreconciled();
  std::set<std::pair<std::uint64_t, std::int32_t>> occurrences;
  for (const TaskKey& key : unreconciled) {
    const JobTask* task = tables.tasks_.Find(key);
    tables.tasks_.Put(
        key, JobTask::Builder(*task).stage(TaskStage::kBlocked).Build());
    occurrences.insert({key.job(), key.occurrence()});
  }
  for (const auto& [job, occurrence] : occurrences) {
    UnlockSteps(job, occurrence, tick.now(), tables);
  }
}

}  // namespace quetzalline
