#include "systems/runner/execute_run_commands.h"

#include "systems/cell/log_fields.h"
#include "systems/runner/send_commands.h"

namespace quetzalline {
namespace {

Reason RefusalReason(WorkerCallOutcome verdict) {
  switch (verdict) {
    case WorkerCallOutcome::kOld:
      return Reason::kStaleAttempt;
    case WorkerCallOutcome::kLate:
      return Reason::kLeaseLapsed;
    case WorkerCallOutcome::kNoRoom:
      return Reason::kDoesNotFit;
    case WorkerCallOutcome::kUnhealthy:
    case WorkerCallOutcome::kNotSent:
      return Reason::kWorkerFailed;
    case WorkerCallOutcome::kOtherLife:
      return Reason::kInstanceLost;
    case WorkerCallOutcome::kFenced:
      return Reason::kStaleEpoch;
    case WorkerCallOutcome::kInvalid:
    case WorkerCallOutcome::kDone:
    case WorkerCallOutcome::kLost:
      break;
  }
  return Reason::kInvalid;
}

// Returns true if the worker has free capacity for one more run. A run that is
// being stopped still uses its resources, and a run whose start command is
// unknown may use any amount.
bool HasFreeCapacity(const StartRun& command, const RunnerTables& tables) {
  std::int64_t cpu = command.fills() ? 0 : command.cpu();
  std::int64_t memory_mb = command.memory_mb();
  std::int64_t gpu = command.gpu();
  for (const auto& [key, run] : tables.runs_) {
    if (!run.known()) return false;
    const StartRun& other = run.order();
    cpu += other.fills() ? 0 : other.cpu();
    memory_mb += other.memory_mb();
    gpu += other.gpu();
  }
  const WorkerDescription& facts = *tables.facts_;
  return cpu <= facts.cpu() && memory_mb <= facts.memory_mb() &&
         gpu <= facts.gpu();
}

// Returns the latest time at which the run may start. The holder decided on it
// after it had received the report that the command names, and may have revoked
// it since. Returns nothing if that report is too old to be known.
std::optional<Instant> LatestStart(const StartRun& command,
                                   const RunnerTables& tables, Instant now) {
  // Holders of earlier releases name no report.
  if (command.report() == 0) return now + tables.policy_.start_validity();
  const auto sent = tables.report_times_.find(command.report());
  if (sent == tables.report_times_.end()) return std::nullopt;
  return sent->second + tables.policy_.start_validity();
}

}  // namespace

void HandleStartRun(const StartRun& command, RunnerTables& tables,
                    RunnerTick& tick) {
  const TaskKey key = command.run().task();
  const bool same_incarnation =
      tables.facts_ && tables.facts_->born_ms() == command.born_ms();
  if (!same_incarnation || !tables.session_.synced()) {
    return RefuseRun(command.run(), Reason::kInstanceLost, tables, tick);
  }
  if (const TrackedRun* held = tables.runs_.Find(key)) {
    if (held->run() != command.run().run()) {
      return RefuseRun(command.run(), Reason::kStaleAttempt, tables, tick);
    }
    tables.runs_.Put(
        key, TrackedRun::Builder(*held).order(command).known(true).Build());
    return;
  }
  if (tick.now() < tables.commands_stale_until_) {
    return RefuseRun(command.run(), Reason::kHeartbeatMissed, tables, tick);
  }
  const std::optional<Instant> start_by =
      LatestStart(command, tables, tick.now());
  if (!start_by || tick.now() >= *start_by) {
    return RefuseRun(command.run(), Reason::kHeartbeatMissed, tables, tick);
  }
  if (tables.facts_->draining()) {
    return RefuseRun(command.run(), Reason::kDrain, tables, tick);
  }
  if (!HasFreeCapacity(command, tables)) {
    return RefuseRun(command.run(), Reason::kDoesNotFit, tables, tick);
  }
  tables.runs_.Put(key, TrackedRun::Builder()
                            .run(command.run().run())
                            .order(command)
                            .known(true)
                            .checkpoint(command.checkpoint())
                            .pace_limit(command.first_pace())
                            .start_by(*start_by)
                            .Build());
  tick.counters().Add(Counter::kTasksStarted);
  QueueStart(key, tables);
}

void HandleStopRun(const StopRun& command, RunnerTables& tables,
                   RunnerTick& tick) {
  const TrackedRun* held = tables.runs_.Find(command.run().task());
  if (held == nullptr || held->run() != command.run().run()) return;
  tick.counters().Add(Counter::kTasksStopped);
  const TaskKey& key = command.run().task();
  if (held->stage() == TrackedRunStage::kQueued) {
    return WithdrawStart(key, Reason::kCancelled, tables, tick);
  }
  QueueStop(key, tables, tick);
}

void HandleStartAnswer(const RunKey& run, std::int64_t fence,
                       const WorkerAnswer& answer, RunnerTables& tables,
                       RunnerTick& tick) {
  const TaskKey& key = run.task();
  const TrackedRun* held = tables.runs_.Find(key);
  if (held == nullptr || held->run() != run.run()) return;
  if (answer.verdict() == WorkerCallOutcome::kDone) {
    const bool starting = held->stage() == TrackedRunStage::kStarting ||
                          held->stage() == TrackedRunStage::kUnresolved;
    TrackedRun::Builder builder(*held);
    builder.confirmed_at(tick.now());
    if (starting) {
      builder.stage(TrackedRunStage::kRunning).steady_since(tick.now());
    }
    tables.runs_.Put(key, builder.Build());
    return;
  }
  if (held->stage() != TrackedRunStage::kStarting || held->fence() != fence) {
    return;
  }
  if (answer.verdict() == WorkerCallOutcome::kLost) {
    LogLine(tick, "command-unanswered", key.job(),
            {Field("step", key.step()), Field("index", key.index()),
             Field("run", run.run()), Field("fence", fence)});
    tables.runs_.Put(
        key,
        TrackedRun::Builder(*held).stage(TrackedRunStage::kUnresolved).Build());
    return;
  }
  const bool raised = fence < CurrentFencingToken(tables);
  if (answer.verdict() == WorkerCallOutcome::kFenced && raised) {
    return QueueStart(key, tables);
  }
  tables.runs_.Erase(key);
  RefuseRun(run, RefusalReason(answer.verdict()), tables, tick);
}

void HandleStopAnswer(const RunKey& run, std::int64_t fence,
                      const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick) {
  const TrackedRun* held = tables.runs_.Find(run.task());
  if (held == nullptr || held->run() != run.run()) return;
  const bool raised = fence < CurrentFencingToken(tables);
  if (answer.verdict() == WorkerCallOutcome::kFenced && raised) {
    QueueStop(run.task(), tables, tick);
  }
}

void RetryStops(RunnerTables& tables, RunnerTick& tick) {
  std::vector<TaskKey> due;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != TrackedRunStage::kStopping) continue;
    const Instant repeat_at = run.called_at() + tables.policy_.call_retry();
    if (tick.now() < repeat_at) {
      tick.WakeAt(repeat_at);
    } else {
      due.push_back(key);
    }
  }
  for (const TaskKey& key : due) QueueStop(key, tables, tick);
}

}  // namespace quetzalline
