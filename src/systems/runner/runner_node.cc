#include "systems/runner/runner_node.h"

#include "core/overloaded.h"
#include "systems/cell/log_fields.h"
#include "systems/cell/registration.h"
#include "systems/runner/follow_holder.h"
#include "systems/runner/order_runs.h"
#include "systems/runner/set_pace.h"
#include "systems/runner/track_silence.h"
#include "systems/runner/watch_worker.h"

namespace quetzalline {
namespace {

void ReadWorkerClock(const WorkerAnswer& answer, RunnerTables& tables,
                     Instant now) {
  if (answer.clock_ms() == 0) return;
  tables.clock_ =
      WorkerClock::Builder().clock_ms(answer.clock_ms()).read_at(now).Build();
}

void TakeWorkerAnswer(const WorkerAnswer& answer, RunnerTables& tables,
                      RunnerTick& tick) {
  const auto found = tables.calls_.find(answer.call());
  if (found == tables.calls_.end()) return;
  const WorkerCall call = found->second;
  tables.calls_.erase(found);
  if (answer.verdict() != WorkerCallOutcome::kLost) {
    tables.answered_at_ = tick.now();
  }
  if (!CheckLife(answer, tables, tick)) return;
  ReadWorkerClock(answer, tables, tick.now());
  std::visit(Overloaded{
                 [&](const StartCall& c) {
                   TakeStartAnswer(c.run(), call.fence(), answer, tables, tick);
                 },
                 [&](const StopCall& c) {
                   TakeStopAnswer(c.run(), call.fence(), answer, tables, tick);
                 },
                 [&](const PaceCall& c) {
                   const HeldRun* held = tables.runs_.Find(c.run().task());
                   if (held == nullptr ||
                       answer.verdict() == WorkerCallOutcome::kDone) {
                     return;
                   }
                   // Sent again with the next change of the lists.
                   tables.runs_.Put(c.run().task(),
                                    HeldRun::Builder(*held).pace(-1).Build());
                 },
                 [&](const HoldCall& c) {
                   TakeHoldAnswer(c, call, answer, tables, tick);
                 },
             },
             call.kind());
}

void TakeRunnerMessage(const RunnerMessageReceived& received,
                       RunnerTables& tables, RunnerTick& tick) {
  const auto* attach = std::get_if<AttachRunner>(&received.message());
  if (attach != nullptr) {
    return TakeAttach(received.connection(), *attach, tables, tick);
  }
  // Only the holder that is followed gives orders.
  if (tables.session_.connection() != received.connection()) return;
  std::visit(Overloaded{
                 [](const AttachRunner&) {},
                 [&](const GrantLease& m) { TakeGrant(m, tables, tick); },
                 [&](const StartRun& m) { TakeStart(m, tables, tick); },
                 [&](const StopRun& m) { TakeStop(m, tables, tick); },
                 [&](const AcknowledgeRunEnds& m) { TakeNoted(m, tables); },
             },
             received.message());
}

}  // namespace

RunnerNode::RunnerNode(const RunnerPolicy& policy, std::uint64_t seed)
    : random_(seed) {
  tables_.policy_ = policy;
}

namespace {

// A runner ticks several times a second; a longer gap means that the process
// stood still, and orders that waited for it are old.
constexpr Duration kLongestTickGap = std::chrono::milliseconds(1500);
constexpr Duration kStaleOrders = std::chrono::milliseconds(100);

void NoticePause(RunnerTables& tables, RunnerTick& tick) {
  const bool paused = tables.session_.connection() &&
                      tick.now() - tables.last_tick_ > kLongestTickGap;
  tables.last_tick_ = tick.now();
  if (!paused) return;
  LogLine(tick, "pause-noticed", 0, {});
  // Nobody asked the worker meanwhile.
  tables.answered_at_ = tick.now();
  tables.orders_stale_until_ = tick.now() + kStaleOrders;
}

}  // namespace

std::vector<RunnerEffect> RunnerNode::RunTick(
    Instant now, std::span<const RunnerInput> inputs) {
  RunnerTick tick(now, random_, tables_.counters_);
  NoticePause(tables_, tick);
  for (const RunnerInput& input : inputs) {
    std::visit(
        Overloaded{
            [](const ConnectionOpened&) {},
            [&](const ConnectionClosed& i) { LoseConnection(i, tables_); },
            [&](const RunnerMessageReceived& i) {
              TakeRunnerMessage(i, tables_, tick);
            },
            [&](const WorkerAnnounced& i) { TakeWorkerSeen(i, tables_, tick); },
            [&](const WorkerLeft& i) { TakeWorkerLeft(i, tables_, tick); },
            [&](const WorkerAnswer& i) { TakeWorkerAnswer(i, tables_, tick); },
            [&](const KvsAnswer& i) {
              TakeRegistration(i.ticket(), i.result(), tables_.registration_,
                               tick);
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
  CheckHolder(tables_, tick);
  LoseSilentWorker(tables_, tick);
  RepeatStops(tables_, tick);
  SetPace(tables_, tick);
  HoldWorker(tables_, tick);
  ReportWorker(tables_, tick);
  wake_at_ = tick.wake_at();
  return tick.TakeEffects();
}

}  // namespace quetzalline
