#include "systems/runner/runner_node.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/registration.h"
#include "systems/runner/detect_unresponsive_worker.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/manage_holder_session.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/throttle_best_effort_tasks.h"
#include "systems/runner/track_foreign_leases.h"
#include "systems/runner/watch_worker.h"

namespace quetzalline {
namespace {

void UpdateWorkerClock(const WorkerAnswer& answer, RunnerTables& tables,
                       Instant now) {
  if (answer.clock_ms() == 0) return;
  tables.clock_ =
      WorkerClock::Builder().clock_ms(answer.clock_ms()).read_at(now).Build();
}

void HandleWorkerAnswer(const WorkerAnswer& answer, RunnerTables& tables,
                        RunnerTick& tick) {
  const auto found = tables.calls_.find(answer.call());
  if (found == tables.calls_.end()) return;
  const WorkerCall call = found->second;
  tables.calls_.erase(found);
  if (answer.verdict() == WorkerCallOutcome::kLost) {
    RecordLeaseCall(call, tables, tick.now());
  }
  const auto* start = std::get_if<StartCall>(&call.kind());
  if (start != nullptr && answer.verdict() == WorkerCallOutcome::kNotSent) {
    // The run must not count as lost with an incarnation that never had it.
    HandleStartAnswer(start->run(), call.fence(), answer, tables, tick);
  }
  if (!CheckWorkerIncarnation(answer, tables, tick)) return;
  UpdateWorkerClock(answer, tables, tick.now());
  std::visit(
      Overloaded{
          [&](const StartCall& c) {
            HandleStartAnswer(c.run(), call.fence(), answer, tables, tick);
          },
          [&](const StopCall& c) {
            HandleStopAnswer(c.run(), call.fence(), answer, tables, tick);
          },
          [&](const ThrottleCall& c) {
            const TrackedRun* held = tables.runs_.Find(c.run().task());
            if (held == nullptr ||
                answer.verdict() == WorkerCallOutcome::kDone) {
              return;
            }
            // A negative rate marks a change that failed and is sent again.
            tables.runs_.Put(c.run().task(),
                             TrackedRun::Builder(*held).pace(-1).Build());
          },
          [&](const StatusPollCall& c) {
            HandlePollAnswer(c, call, answer, tables, tick);
          },
      },
      call.kind());
}

void HandleRunnerMessage(const RunnerMessageReceived& received,
                         RunnerTables& tables, RunnerTick& tick) {
  const auto* attach = std::get_if<AttachRunner>(&received.message());
  if (attach != nullptr) {
    return HandleAttach(received.connection(), *attach, tables, tick);
  }
  // Commands are accepted from the followed holder only.
  if (tables.session_.connection() != received.connection()) return;
  std::visit(
      Overloaded{
          [](const AttachRunner&) {},
          [&](const GrantLease& m) { HandleLeaseGrant(m, tables, tick); },
          [&](const StartRun& m) { HandleStartRun(m, tables, tick); },
          [&](const StopRun& m) { HandleStopRun(m, tables, tick); },
          [&](const AcknowledgeRunEnds& m) {
            HandleAcknowledgedCompletions(m, tables);
          },
          [&](const AcknowledgeCrash& m) {
            HandleAcknowledgedCrash(m, tables);
          },
      },
      received.message());
}

}  // namespace

RunnerNode::RunnerNode(const RunnerPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

namespace {

// A runner ticks several times a second. What its ticks are late by adds up,
// and is made up for by ticks in time. With more than a second of it, the
// process was stalled or is too slow, and commands that have waited are stale.
constexpr Duration kUsualTickGap = std::chrono::milliseconds(500);
constexpr Duration kMaxLateness = std::chrono::milliseconds(1000);
constexpr Duration kStaleCommandTime = std::chrono::milliseconds(100);
// A longer lateness is forgotten: ticks in time make up for it in half a
// second.
constexpr Duration kLongestLateness = std::chrono::milliseconds(3000);

void DetectStall(RunnerTables& tables, RunnerTick& tick) {
  const Duration gap = tick.now() - tables.last_tick_;
  tables.last_tick_ = tick.now();
  if (!tables.session_.connection()) {
    tables.lateness_ = Duration();
    return;
  }
  tables.lateness_ = std::clamp<Duration>(
      tables.lateness_ + gap - kUsualTickGap, Duration(), kLongestLateness);
  if (tables.lateness_ <= kMaxLateness) return;
  LogLine(tick, "stall-detected", 0, {});
  // The worker was not polled during the stall.
  tables.worker_answered_at_ = tick.now();
  tables.commands_stale_until_ = tick.now() + kStaleCommandTime;
  WithdrawStarts(Reason::kHeartbeatMissed, tables, tick);
}

}  // namespace

std::vector<RunnerEffect> RunnerNode::RunTick(
    Instant now, std::span<const RunnerInput> inputs) {
  RunnerTick tick(now, random_, tables_.counters_);
  DetectStall(tables_, tick);
  for (const RunnerInput& input : inputs) {
    std::visit(
        Overloaded{
            [](const ConnectionOpened&) {},
            [&](const ConnectionClosed& i) {
              HandleHolderDisconnected(i, tables_, tick);
            },
            [&](const RunnerMessageReceived& i) {
              HandleRunnerMessage(i, tables_, tick);
            },
            [&](const WorkerAnnounced& i) {
              HandleWorkerAnnounced(i, tables_, tick);
            },
            [&](const WorkerLeft& i) { HandleWorkerLeft(i, tables_, tick); },
            [&](const WorkerAnswer& i) {
              HandleWorkerAnswer(i, tables_, tick);
            },
            [&](const KvsAnswer& i) {
              HandleRegistrationAnswer(i.ticket(), i.result(),
                                       tables_.registration_, tick);
            },
            [&](const HolderEpochSeen& i) {
              HandleHolderEpochSeen(i, tables_, tick);
            },
            [](const StopRequested&) {},
        },
        input);
  }
  const MemberRecord record = MemberRecord::Builder()
                                  .role(MemberRole::kRunner)
                                  .address(tables_.policy_.address())
                                  .incarnation(tables_.policy_.incarnation())
                                  .Build();
  Register(tables_.policy_.member(), record, tables_.last_ticket_,
           tables_.registration_, tick);
  CheckHolderContact(tables_, tick);
  ExpireUnresponsiveWorker(tables_, tick);
  RetryStops(tables_, tick);
  ThrottleBestEffortTasks(tables_, tick);
  SendCommands(tables_, tick);
  SendWorkerPolls(tables_, tick);
  SendDueReport(tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
