#include "systems/runner/send_commands.h"

#include <algorithm>
#include <vector>

#include "core/overloaded.h"
#include "systems/cell/log_fields.h"
#include "systems/runner/detect_unresponsive_worker.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/track_foreign_leases.h"
#include "systems/runner/worker_time.h"

namespace quetzalline {
namespace {

// Number of sessions per epoch, and of raises per session, that a fencing token
// distinguishes.
constexpr std::int64_t kSessionsPerEpoch = std::int64_t{1} << 20;
constexpr std::int64_t kRaisesPerSession = std::int64_t{1} << 10;
// Maximum number of commands in flight; each uses a connection.
constexpr std::ptrdiff_t kMaxCommandsInFlight = 4;

RunKey RunOf(const TaskKey& key, const TrackedRun& held) {
  return RunKey::Builder().task(key).run(held.run()).Build();
}

std::ptrdiff_t CountCommandsInFlight(const RunnerTables& tables) {
  return std::count_if(
      tables.calls_.begin(), tables.calls_.end(), [](const auto& entry) {
        return !std::holds_alternative<StatusPollCall>(entry.second.kind());
      });
}

// Returns the run of a command if it is in the given stage; null if the command
// is void.
const TrackedRun* FindRun(const RunKey& run, TrackedRunStage stage,
                          const RunnerTables& tables) {
  const TrackedRun* held = tables.runs_.Find(run.task());
  const bool same = held != nullptr && held->run() == run.run();
  return same && held->stage() == stage ? held : nullptr;
}

// Returns the end of the lease that a start carries. It is not later than the
// time by which the run may start, so that the worker rejects a start that
// reaches it afterwards; the status polls extend the lease.
std::int64_t StartLeaseEnd(const TrackedRun& held, const RunnerTables& tables,
                           Instant now) {
  const std::int64_t lease_end = LeaseEndToSend(tables, now);
  if (!tables.clock_) return lease_end;
  return std::min(lease_end,
                  EarliestWorkerTime(held.start_by(), *tables.clock_));
}

void SendStart(const RunKey& run, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun* queued = FindRun(run, TrackedRunStage::kQueued, tables);
  if (queued == nullptr) return;
  const TrackedRun held = *queued;
  const std::int64_t fence = CurrentFencingToken(tables);
  tables.runs_.Put(run.task(), TrackedRun::Builder(held)
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
                .lease_end_ms(StartLeaseEnd(held, tables, tick.now()))
                .fence(fence)
                .Build());
  if (held.order().isolated()) ScheduleSurvivalChecks(tables, tick.now());
}

void SendStop(const RunKey& run, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun* held = FindRun(run, TrackedRunStage::kStopping, tables);
  if (held == nullptr) return;
  tables.runs_.Put(run.task(),
                   TrackedRun::Builder(*held).called_at(tick.now()).Build());
  tick.Emit(WorkerStop::Builder()
                .call(RegisterWorkerCall(StopCall::Builder().run(run).Build(),
                                         tables, tick.now()))
                .worker(tables.facts_->worker())
                .run(run)
                .fence(CurrentFencingToken(tables))
                .Build());
}

void SendThrottle(const ThrottleCall& call, RunnerTables& tables,
                  RunnerTick& tick) {
  if (FindRun(call.run(), TrackedRunStage::kRunning, tables) == nullptr) return;
  tick.Emit(WorkerThrottle::Builder()
                .call(RegisterWorkerCall(call, tables, tick.now()))
                .worker(tables.facts_->worker())
                .run(call.run())
                .percent(call.percent())
                .fence(CurrentFencingToken(tables))
                .Build());
}

// Removes and returns the next command. The queue is not empty.
QueuedCommand TakeCommand(RunnerTables& tables) {
  auto& queue = tables.queued_commands_;
  const auto stop = std::find_if(
      queue.begin(), queue.end(), [](const QueuedCommand& command) {
        return std::holds_alternative<StopCall>(command);
      });
  const auto next = stop == queue.end() ? queue.begin() : stop;
  const QueuedCommand command = *next;
  queue.erase(next);
  return command;
}

// Returns the runs whose starts were not sent.
std::vector<TaskKey> QueuedStarts(const RunnerTables& tables) {
  std::vector<TaskKey> queued;
  for (const auto& [key, run] : tables.runs_) {
    if (run.stage() == TrackedRunStage::kQueued) queued.push_back(key);
  }
  return queued;
}

void WithdrawOldStarts(RunnerTables& tables, RunnerTick& tick) {
  for (const TaskKey& key : QueuedStarts(tables)) {
    const Instant start_by = tables.runs_.Find(key)->start_by();
    if (tick.now() >= start_by) {
      WithdrawStart(key, Reason::kHeartbeatMissed, tables, tick);
    } else {
      tick.WakeAt(start_by);
    }
  }
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

void QueueStart(const TaskKey& key, RunnerTables& tables) {
  const TrackedRun held = *tables.runs_.Find(key);
  tables.runs_.Put(
      key, TrackedRun::Builder(held).stage(TrackedRunStage::kQueued).Build());
  tables.queued_commands_.push_back(
      StartCall::Builder().run(RunOf(key, held)).Build());
}

void QueueStop(const TaskKey& key, RunnerTables& tables, RunnerTick& tick) {
  const TrackedRun held = *tables.runs_.Find(key);
  tables.runs_.Put(key, TrackedRun::Builder(held)
                            .stage(TrackedRunStage::kStopping)
                            .called_at(tick.now())
                            .Build());
  const QueuedCommand stop = StopCall::Builder().run(RunOf(key, held)).Build();
  auto& queue = tables.queued_commands_;
  if (std::find(queue.begin(), queue.end(), stop) == queue.end()) {
    queue.push_back(stop);
  }
}

void QueueThrottle(const RunKey& run, std::int32_t percent,
                   RunnerTables& tables) {
  const ThrottleCall call =
      ThrottleCall::Builder().run(run).percent(percent).Build();
  auto& queue = tables.queued_commands_;
  const auto waiting = std::find_if(
      queue.begin(), queue.end(), [&](const QueuedCommand& command) {
        const auto* throttle = std::get_if<ThrottleCall>(&command);
        return throttle != nullptr && throttle->run() == run;
      });
  if (waiting == queue.end()) {
    queue.push_back(call);
  } else {
    *waiting = call;
  }
}

void WithdrawStart(const TaskKey& key, Reason reason, RunnerTables& tables,
                   RunnerTick& tick) {
  const RunKey run = RunOf(key, *tables.runs_.Find(key));
  tables.runs_.Erase(key);
  std::erase(tables.queued_commands_,
             QueuedCommand(StartCall::Builder().run(run).Build()));
  RefuseRun(run, reason, tables, tick);
}

void WithdrawStarts(Reason reason, RunnerTables& tables, RunnerTick& tick) {
  for (const TaskKey& key : QueuedStarts(tables)) {
    WithdrawStart(key, reason, tables, tick);
  }
}

void SendCommands(RunnerTables& tables, RunnerTick& tick) {
  if (IsWorkerUnresponsive(tables, tick.now())) {
    WithdrawStarts(Reason::kWorkerFailed, tables, tick);
  }
  WithdrawOldStarts(tables, tick);
  if (!tables.facts_) return;
  std::ptrdiff_t in_flight = CountCommandsInFlight(tables);
  while (!tables.queued_commands_.empty() && in_flight < kMaxCommandsInFlight) {
    std::visit(
        Overloaded{
            [&](const StartCall& c) { SendStart(c.run(), tables, tick); },
            [&](const StopCall& c) { SendStop(c.run(), tables, tick); },
            [&](const ThrottleCall& c) { SendThrottle(c, tables, tick); },
        },
        TakeCommand(tables));
    in_flight = CountCommandsInFlight(tables);
  }
}

}  // namespace quetzalline
