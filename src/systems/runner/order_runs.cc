#include "systems/runner/order_runs.h"

#include "systems/cell/log_fields.h"

namespace quetzalline {
namespace {

// Sessions within an epoch, and raises within a session, that a fence tells
// apart.
constexpr std::int64_t kSessionsInEpoch = std::int64_t{1} << 20;
constexpr std::int64_t kRaisesInSession = std::int64_t{1} << 10;

void SendStart(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const HeldRun held = *tables.runs_.Find(key);
  const std::int64_t fence = CurrentFence(tables);
  const RunKey run = held.order().run();
  tables.runs_.Put(key, HeldRun::Builder(held)
                            .stage(HeldStage::kStarting)
                            .fence(fence)
                            .called_at(tick.now())
                            .Build());
  tick.Emit(WorkerStart::Builder()
                .call(OpenWorkerCall(StartCall::Builder().run(run).Build(),
                                     tables, tick.now()))
                .worker(tables.facts_->worker())
                .run(run)
                .spec(held.order().spec())
                .checkpoint(held.order().checkpoint())
                .lease_end_ms(tables.lease_end_ms_)
                .fence(fence)
                .Build());
}

void SendStop(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const HeldRun held = *tables.runs_.Find(key);
  const RunKey run = RunKey::Builder().task(key).run(held.run()).Build();
  tables.runs_.Put(key, HeldRun::Builder(held)
                            .stage(HeldStage::kStopping)
                            .called_at(tick.now())
                            .Build());
  if (!tables.facts_) return;
  tick.Emit(WorkerStop::Builder()
                .call(OpenWorkerCall(StopCall::Builder().run(run).Build(),
                                     tables, tick.now()))
                .worker(tables.facts_->worker())
                .run(run)
                .fence(CurrentFence(tables))
                .Build());
}

Reason RefusalReason(WorkerVerdict verdict) {
  switch (verdict) {
    case WorkerVerdict::kOld:
      return Reason::kStaleAttempt;
    case WorkerVerdict::kLate:
      return Reason::kLeaseLapsed;
    case WorkerVerdict::kNoRoom:
      return Reason::kDoesNotFit;
    case WorkerVerdict::kUnhealthy:
      return Reason::kWorkerFailed;
    case WorkerVerdict::kOtherLife:
      return Reason::kInstanceLost;
    case WorkerVerdict::kFenced:
      return Reason::kStaleEpoch;
    case WorkerVerdict::kInvalid:
    case WorkerVerdict::kDone:
    case WorkerVerdict::kLost:
      break;
  }
  return Reason::kInvalid;
}

// Whether the worker has room for one more run. What is being stopped still
// takes its room, and a run that nobody has described may take any.
bool HasRoom(const StartRun& order, const RunnerTables& tables) {
  std::int64_t cpu = order.fills() ? 0 : order.cpu();
  std::int64_t memory_mb = order.memory_mb();
  std::int64_t gpu = order.gpu();
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

std::int64_t CurrentFence(const RunnerTables& tables) {
  const HolderSession& session = tables.session_;
  return (session.epoch() * kSessionsInEpoch + session.session()) *
             kRaisesInSession +
         tables.fence_raises_;
}

std::uint64_t OpenWorkerCall(const WorkerCallKind& kind, RunnerTables& tables,
                             Instant now) {
  const std::uint64_t call = ++tables.last_call_;
  tables.calls_[call] = WorkerCall::Builder()
                            .kind(kind)
                            .fence(CurrentFence(tables))
                            .sent_at(now)
                            .Build();
  return call;
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

void TakeStart(const StartRun& order, RunnerTables& tables, RunnerTick& tick) {
  const TaskKey key = order.run().task();
  const bool known =
      tables.facts_ && tables.facts_->born_ms() == order.born_ms();
  if (!known || !tables.session_.synced()) {
    return RefuseRun(order.run(), Reason::kInstanceLost, tables, tick);
  }
  if (const HeldRun* held = tables.runs_.Find(key)) {
    if (held->run() != order.run().run()) {
      return RefuseRun(order.run(), Reason::kStaleAttempt, tables, tick);
    }
    tables.runs_.Put(key,
                     HeldRun::Builder(*held).order(order).known(true).Build());
    return;
  }
  if (tick.now() < tables.orders_stale_until_) {
    return RefuseRun(order.run(), Reason::kHeartbeatMissed, tables, tick);
  }
  if (!HasRoom(order, tables)) {
    return RefuseRun(order.run(), Reason::kDoesNotFit, tables, tick);
  }
  tables.runs_.Put(key, HeldRun::Builder()
                            .run(order.run().run())
                            .order(order)
                            .known(true)
                            .checkpoint(order.checkpoint())
                            .pace_limit(order.first_pace())
                            .Build());
  tick.counters().Add(Counter::kTasksStarted);
  SendStart(key, tables, tick);
}

void TakeStop(const StopRun& order, RunnerTables& tables, RunnerTick& tick) {
  const HeldRun* held = tables.runs_.Find(order.run().task());
  if (held == nullptr || held->run() != order.run().run()) return;
  tick.counters().Add(Counter::kTasksStopped);
  SendStop(order.run().task(), tables, tick);
}

void TakeStartAnswer(const RunKey& run, std::int64_t fence,
                     const WorkerAnswer& answer, RunnerTables& tables,
                     RunnerTick& tick) {
  const TaskKey& key = run.task();
  const HeldRun* held = tables.runs_.Find(key);
  if (held == nullptr || held->run() != run.run()) return;
  if (answer.verdict() == WorkerVerdict::kDone) {
    const bool starting = held->stage() == HeldStage::kStarting ||
                          held->stage() == HeldStage::kUnresolved;
    HeldRun::Builder builder(*held);
    builder.confirmed_at(tick.now());
    if (starting) builder.stage(HeldStage::kRunning).steady_since(tick.now());
    tables.runs_.Put(key, builder.Build());
    return;
  }
  if (held->stage() != HeldStage::kStarting || held->fence() != fence) return;
  if (answer.verdict() == WorkerVerdict::kLost) {
    LogLine(tick, "order-unanswered", key.job(),
            {Field("step", key.step()), Field("index", key.index()),
             Field("run", run.run()), Field("fence", fence)});
    tables.runs_.Put(
        key, HeldRun::Builder(*held).stage(HeldStage::kUnresolved).Build());
    return;
  }
  const bool raised = fence < CurrentFence(tables);
  if (answer.verdict() == WorkerVerdict::kFenced && raised) {
    return SendStart(key, tables, tick);
  }
  tables.runs_.Erase(key);
  RefuseRun(run, RefusalReason(answer.verdict()), tables, tick);
}

void TakeStopAnswer(const RunKey& run, std::int64_t fence,
                    const WorkerAnswer& answer, RunnerTables& tables,
                    RunnerTick& tick) {
  const HeldRun* held = tables.runs_.Find(run.task());
  if (held == nullptr || held->run() != run.run()) return;
  const bool raised = fence < CurrentFence(tables);
  if (answer.verdict() == WorkerVerdict::kFenced && raised) {
    SendStop(run.task(), tables, tick);
  }
}

void RepeatStops(RunnerTables& tables, RunnerTick& tick) {
  std::vector<TaskKey> due;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() != HeldStage::kStopping) continue;
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
