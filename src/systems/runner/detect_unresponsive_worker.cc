#include "systems/runner/detect_unresponsive_worker.h"

#include <algorithm>

#include "messages/worker_left.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/track_foreign_leases.h"
#include "systems/runner/watch_worker.h"

namespace quetzalline {
namespace {

// Twice the longest time between two answers of a healthy worker, which is a
// poll that waits for a completion plus the margin of that call.
constexpr Duration kTimeout = std::chrono::milliseconds(2000);

}  // namespace

bool IsWorkerUnresponsive(const RunnerTables& tables, Instant now) {
  return tables.facts_.has_value() &&
         now - tables.worker_answered_at_ > kTimeout;
}

void ExpireUnresponsiveWorker(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_) return;
  const bool silent = IsWorkerUnresponsive(tables, tick.now());
  if (silent != tables.reported_unresponsive_) tables.report_due_ = true;
  if (!silent) {
    return tick.WakeAt(tables.worker_answered_at_ + kTimeout + Duration(1));
  }
  const Instant leases_end =
      std::max(tables.worker_answered_at_ + kTimeout +
                   MaxLeaseDuration(tables.policy_.task_lease()),
               ForeignLeaseEnd(tables));
  if (tick.now() < leases_end) return tick.WakeAt(leases_end);
  LogLine(tick, "worker-unresponsive", 0,
          {Field("worker", tables.facts_->worker()),
           Field("runs", tables.runs_.size()),
           FieldMs("silent_ms", tick.now() - tables.worker_answered_at_)});
  KeepUnresponsive(tables, tick.now());
  const std::string worker = tables.facts_->worker();
  HandleWorkerLeft(WorkerLeft::Builder().worker(worker).Build(), tables, tick);
}

}  // namespace quetzalline
