#include "systems/runner/track_silence.h"

#include "messages/worker_left.h"
#include "systems/cell/lease_bound.h"
#include "systems/cell/log_fields.h"
#include "systems/runner/watch_worker.h"

namespace quetzalline {
namespace {

// Twice the longest time between two answers of a worker that is well: a look
// that waits for an end, and the margin of its call.
constexpr Duration kSilence = std::chrono::milliseconds(2000);

}  // namespace

bool IsWorkerSilent(const RunnerTables& tables, Instant now) {
  return tables.facts_.has_value() &&
         now - tables.worker_answered_at_ > kSilence;
}

void LoseSilentWorker(RunnerTables& tables, RunnerTick& tick) {
  if (!tables.facts_) return;
  const bool silent = IsWorkerSilent(tables, tick.now());
  if (silent != tables.reported_unresponsive_) tables.report_due_ = true;
  if (!silent)
    return tick.WakeAt(tables.worker_answered_at_ + kSilence + Duration(1));
  const Instant over_at = tables.worker_answered_at_ + kSilence +
                          LeaseBound(tables.policy_.task_lease());
  if (tick.now() < over_at) return tick.WakeAt(over_at);
  LogLine(tick, "worker-silent", 0,
          {Field("worker", tables.facts_->worker()),
           Field("runs", tables.runs_.size()),
           FieldMs("silent_ms", tick.now() - tables.worker_answered_at_)});
  const std::string worker = tables.facts_->worker();
  TakeWorkerLeft(WorkerLeft::Builder().worker(worker).Build(), tables, tick);
}

}  // namespace quetzalline
