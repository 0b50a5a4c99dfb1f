#include "systems/runner/execute_run_commands.h"

#include "systems/cell/log_fields.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/track_foreign_leases.h"

namespace quetzalline {
namespace {

// Number of sessions per epoch, and of raises per session, that a fencing token
// distinguishes.
constexpr std::int64_t kSessionsPerEpoch = std::int64_t{1} << 20;
constexpr std::int64_t kRaisesPerSession = std::int64_t{1} << 10;

void SendStart(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun held = *tables.runs_.Find(key);
  const std::int64_t fence = CurrentFencingToken(tables);
  const RunKey run = held.order().run();
  tables.runs_.Put(key, TrackedRun::Builder(held)
                            .stage(TrackedRunStage::kStarting)
                            .fence(fence)
                            .called_at(tick.now())
                            .started_at(tick.now())
                            .Build());
  tick.Emit(WorkerStart::Builder()
                .call(RegisterWorkerCall(StartCall::Builder().run(run).Build(),
                                         tables, tick.now()))
                .worker(tables.facts_->worker())
                .born_ms(tables.facts_->born_ms())
                .run(run)
                .spec(held.order().spec())
                .checkpoint(held.order().checkpoint())
                .lease_end_ms(LeaseEndToSend(tables, tick.now()))
                .fence(fence)
                .Build());
}

void SendStop(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun held = *tables.runs_.Find(key);
  const RunKey run = RunKey::Builder().task(key).run(held.run()).Build();
  tables.runs_.Put(key, TrackedRun::Builder(held)
                            .stage(TrackedRunStage::kStopping)
                            .called_at(tick.now())
                            .Build());
  if (!tables.facts_) return;
  tick.Emit(WorkerStop::Builder()
                .call(RegisterWorkerCall(StopCall::Builder().run(run).Build(),
                                         tables, tick.now()))
                .worker(tables.facts_->worker())
                .run(run)
                .fence(CurrentFencingToken(tables))
                .Build());
}

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

}  // namespace

std::int64_t CurrentFencingToken(const RunnerTables& tables) {
  const HolderSession& session = tables.session_;
  return (session.epoch() * kSessionsPerEpoch + session.session()) *
             kRaisesPerSession +
         tables.fence_raises_;
}

std::uint64_t RegisterWorkerCall(const WorkerCallKind& kind,
                                 RunnerTables& tables, Instant now) {
  const std::uint64_t number = ++tables.last_call_;
  const bool extends_lease = std::holds_alternative<StartCall>(kind) ||
                             std::holds_alternative<StatusPollCall>(kind);
  const WorkerCall call =
      WorkerCall::Builder()
          .kind(kind)
          .fence(CurrentFencingToken(tables))
          .sent_at(now)
          .leased(extends_lease && LeaseEndToSend(tables, now) > 0)
          .Build();
  RecordLeaseCall(call, tables, now);
  tables.calls_[number] = call;
  return number;
}

void RefuseRun(const RunKey& run, Reason reason, RunnerTables& tables,
               RunnerTick& tick) {
  tick.counters().Add(Counter::kTasksRefused, reason);
  LogLine(tick, "run-refused", run.task().job(),
          {Field("step", run.task().step()), Field("index", run.task().index()),
           Field("run", run.run()), Field("reason", reason)});
  tables.refusals_.push_back(
      RunRefused::Builder().run(run).reason(reason).Build());
  tables.report_due_ = true;
}

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
  if (!HasFreeCapacity(command, tables)) {
    return RefuseRun(command.run(), Reason::kDoesNotFit, tables, tick);
  }
  tables.runs_.Put(key, TrackedRun::Builder()
                            .run(command.run().run())
                            .order(command)
                            .known(true)
                            .checkpoint(command.checkpoint())
                            .pace_limit(command.first_pace())
                            .Build());
  tick.counters().Add(Counter::kTasksStarted);
  SendStart(key, tables, tick);
  if (command.isolated()) ScheduleSurvivalChecks(tables, tick.now());
}

void HandleStopRun(const StopRun& command, RunnerTables& tables,
                   RunnerTick& tick) {
  const TrackedRun* held = tables.runs_.Find(command.run().task());
  if (held == nullptr || held->run() != command.run().run()) return;
  tick.counters().Add(Counter::kTasksStopped);
  SendStop(command.run().task(), tables, tick);
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
    return SendStart(key, tables, tick);
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
    SendStop(run.task(), tables, tick);
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
  for (const TaskKey& key : due) SendStop(key, tables, tick);
}

}  // namespace quetzalline
