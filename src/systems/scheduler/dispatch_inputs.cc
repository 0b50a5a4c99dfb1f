#include "systems/scheduler/dispatch_inputs.h"

#include "core/overloaded.h"
#include "systems/scheduler/admit_jobs.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/load_stored_state.h"
#include "systems/scheduler/observe_handovers.h"
#include "systems/scheduler/track_members.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

// Dispatches an answer of the store by the purpose of its call. Answers to
// calls of an earlier term are dropped.
void DispatchKvsAnswer(const KvsAnswer& answer, SchedulerTables& tables,
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
            HandleHolderRead(result, round_trip, tables, tick);
          },
          [&](const WatchingHolder&) {
            HandleHolderWatch(result, tables, tick);
          },
          [&](const ReadingEpoch&) { HandleEpochRead(result, tables, tick); },
          [&](const OpeningHolderLease&) {
            HandleHolderLease(result, tables, tick);
          },
          [&](const ClaimingCell&) {
            HandleClaimResult(result, pending.sent_at(), tables, tick);
          },
          [&](const RenewingHolderLease&) {
            HandleRenewalResult(result, tables, tick);
          },
          [&](const EndingHolderLease&) {},
          [&](const LoadingStoredState& p) {
            HandleLoadResult(p.prefix(), result, tables, tick);
          },
          [&](const ListingMembers&) {
            HandleMembersList(result, tables, tick);
          },
          [&](const WatchingMembers&) {
            HandleMembersWatch(result, tables, tick);
          },
          [&](const ReadingConfiguration&) {
            HandleConfigurationWatch(result, tables, tick);
          },
          [&](const WatchingConfiguration&) {
            HandleConfigurationWatch(result, tables, tick);
          },
          [&](const CommittingBatch&) { HandleCommit(result, tables, tick); },
          [&](const ConfirmingCommit&) {
            HandleCommitCheck(result, tables, tick);
          },
          [&](const ConfirmingEpoch&) {
            HandleEpochCheck(result, pending.sent_at(), tables, tick);
          },
          [&](const ProbingJob& p) {
            HandleJobProbe(p.caller(), result, tables, tick);
          },
          [&](const ObservingHandovers&) {
            HandleObservedHandovers(result, tables, tick);
          },
      },
      pending.purpose());
}

void DispatchHolderMessage(const HolderMessageReceived& received,
                           SchedulerTables& tables, SchedulerTick& tick) {
  const ConnectionId connection = received.connection();
  std::visit(Overloaded{
                 [&](const WorkerReport& m) {
                   HandleReport(connection, m, tables, tick);
                 },
                 [&](const HolderSuperseded& m) {
                   if (!IsHolder(tables) || m.epoch() <= tables.term_.epoch()) {
                     return;
                   }
                   StepDown("a runner follows a later epoch", tables, tick);
                 },
                 [&](const EntryAlive&) {
                   RecordMemberContact(connection, tables, tick.now());
                 },
                 [&](const SubmitJobRequest& m) {
                   AcceptJob(connection, m, tables, tick);
                 },
                 [&](const CancelJobRequest& m) {
                   CancelAcceptedJob(connection, m, tables, tick);
                 },
                 [&](const ReadJobState& m) {
                   ReplyJobState(connection, m, tables, tick);
                 },
                 [&](const ReadPendingCount& m) {
                   ReplyPendingCount(connection, m, tables, tick);
                 },
             },
             received.message());
}

}  // namespace

void DispatchInputs(std::span<const SchedulerInput> inputs,
                    SchedulerTables& tables, SchedulerTick& tick) {
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
              DispatchHolderMessage(i, tables, tick);
            },
            [&](const KvsAnswer& i) { DispatchKvsAnswer(i, tables, tick); },
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
