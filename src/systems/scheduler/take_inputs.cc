#include "systems/scheduler/take_inputs.h"

#include "core/overloaded.h"
#include "systems/scheduler/admit_jobs.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/follow_members.h"
#include "systems/scheduler/load_kept.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

void TakeKvsAnswer(const KvsAnswer& answer, SchedulerTables& tables,
                   SchedulerTick& tick) {
  const KvsPending* found = tables.store_calls_.Find(answer.ticket());
  if (found == nullptr) return;
  const KvsPending pending = *found;
  tables.store_calls_.Erase(answer.ticket());
  if (std::holds_alternative<KvsFailed>(answer.result())) {
    tick.counters().Add(Counter::kStoreFailures);
  }
  if (pending.term() != tables.term_number_) return;
  const KvsResult& result = answer.result();
  const Duration round_trip = tick.now() - pending.sent_at();
  std::visit(
      Overloaded{
          [&](const ReadingHolder&) {
            TakeHolderRead(result, round_trip, tables, tick);
          },
          [&](const WatchingHolder&) { TakeHolderWatch(result, tables, tick); },
          [&](const ReadingEpoch&) { TakeEpochRead(result, tables, tick); },
          [&](const OpeningHolderLease&) {
            TakeHolderLease(result, tables, tick);
          },
          [&](const ClaimingCell&) { TakeClaim(result, tables, tick); },
          [&](const RenewingHolderLease&) {
            TakeRenewal(result, tables, tick);
          },
          [&](const EndingHolderLease&) {},
          [&](const LoadingKept& p) {
            TakeLoaded(p.prefix(), result, tables, tick);
          },
          [&](const ListingMembers&) { TakeMembersList(result, tables, tick); },
          [&](const WatchingMembers&) {
            TakeMembersWatch(result, tables, tick);
          },
          [&](const ReadingConfiguration&) {
            TakeConfigurationWatch(result, tables, tick);
          },
          [&](const WatchingConfiguration&) {
            TakeConfigurationWatch(result, tables, tick);
          },
          [&](const CommittingBatch&) { TakeCommit(result, tables, tick); },
          [&](const ConfirmingCommit&) {
            TakeCommitCheck(result, tables, tick);
          },
          [&](const ConfirmingEpoch&) { TakeEpochCheck(result, tables, tick); },
          [&](const ProbingJob& p) {
            TakeProbe(p.caller(), result, tables, tick);
          },
      },
      pending.purpose());
}

void TakeHolderMessage(const HolderMessageReceived& received,
                       SchedulerTables& tables, SchedulerTick& tick) {
  const ConnectionId connection = received.connection();
  std::visit(Overloaded{
                 [&](const WorkerReport& m) {
                   TakeReport(connection, m, tables, tick);
                 },
                 [&](const HolderSuperseded& m) {
                   if (!IsHolder(tables) || m.epoch() <= tables.term_.epoch())
                     return;
                   StepDown("a runner follows a later epoch", tables, tick);
                 },
                 [&](const EntryAlive&) {
                   HearMember(connection, tables, tick.now());
                 },
                 [&](const SubmitJobRequest& m) {
                   HandIn(connection, m, tables, tick);
                 },
                 [&](const CancelJobRequest& m) {
                   Withdraw(connection, m, tables, tick);
                 },
                 [&](const ReadJobState& m) {
                   TellState(connection, m, tables, tick);
                 },
                 [&](const ReadPendingCount& m) {
                   TellPending(connection, m, tables, tick);
                 },
             },
             received.message());
}

}  // namespace

void TakeInputs(std::span<const SchedulerInput> inputs, SchedulerTables& tables,
                SchedulerTick& tick) {
  for (const SchedulerInput& input : inputs) {
    if (const auto* closed = std::get_if<ConnectionClosed>(&input)) {
      DisconnectMember(*closed, tables, tick);
    }
  }
  for (const SchedulerInput& input : inputs) {
    std::visit(
        Overloaded{
            [&](const PeerConnected& i) { ConnectMember(i, tables, tick); },
            [](const ConnectionClosed&) {},
            [&](const HolderMessageReceived& i) {
              TakeHolderMessage(i, tables, tick);
            },
            [&](const KvsAnswer& i) { TakeKvsAnswer(i, tables, tick); },
            [&](const WallClockRead& i) {
              tables.wall_offset_ms_ =
                  i.unix_ms() -
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      tick.now().time_since_epoch())
                      .count();
            },
            [&](const StopRequested&) { ResignCell(tables, tick); },
        },
        input);
  }
}

}  // namespace quetzalline
