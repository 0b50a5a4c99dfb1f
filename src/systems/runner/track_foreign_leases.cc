#include "systems/runner/track_foreign_leases.h"

#include <algorithm>

#include "systems/cell/max_lease_duration.h"
#include "systems/runner/detect_unresponsive_worker.h"

namespace quetzalline {
namespace {

// Time within which a call is executed: the timeout of a command.
constexpr Duration kExecutionTime = std::chrono::milliseconds(500);

Duration MaxForeignLease(const RunnerTables& tables) {
  return kExecutionTime + MaxLeaseDuration(tables.policy_.max_lease());
}

}  // namespace

std::int64_t LeaseEndToSend(const RunnerTables& tables, Instant now) {
  return IsWorkerUnresponsive(tables, now) ? 0 : tables.lease_end_ms_;
}

void RecordLeaseCall(const WorkerCall& call, RunnerTables& tables,
                     Instant now) {
  if (call.leased()) tables.lease_called_at_ = now;
}

void KeepForeignLease(RunnerTables& tables, Instant now) {
  if (tables.lease_called_at_ == Instant()) return;
  tables.foreign_lease_end_ = now + MaxForeignLease(tables);
}

bool HasUnresolvedRuns(const RunnerTables& tables) {
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() == TrackedRunStage::kUnresolved) return true;
    const bool never_confirmed = run.confirmed_at() == Instant();
    if (run.stage() == TrackedRunStage::kStopping && never_confirmed) {
      return true;
    }
  }
  return false;
}

Instant ForeignLeaseEnd(const RunnerTables& tables) {
  const bool called = tables.lease_called_at_ != Instant();
  if (!called || !HasUnresolvedRuns(tables)) return tables.foreign_lease_end_;
  return std::max(tables.foreign_lease_end_,
                  tables.lease_called_at_ + MaxForeignLease(tables));
}

}  // namespace quetzalline
