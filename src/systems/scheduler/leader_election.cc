#include "systems/scheduler/leader_election.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/load_stored_state.h"
#include "systems/scheduler/observe_handovers.h"

namespace quetzalline {
namespace {

// Delay before a claim: a minimum, a random part, and a multiple of the round
// trip to the store. The random part makes competing claims unlikely; the round
// trips favour a candidate near the store.
constexpr Duration kMinClaimDelay = std::chrono::milliseconds(20);
constexpr std::int64_t kClaimJitterUs = 80'000;
constexpr int kRoundTripsBeforeClaim = 8;
// Added for a process that has started so recently that it would count the
// leases of absent workers from a later time than others. More than the jitter.
constexpr Duration kUnobservedClaimDelay = std::chrono::milliseconds(100);
// Delay before a failed read of the holder is repeated, and its random part.
constexpr Duration kHolderReadDelay = std::chrono::milliseconds(150);
constexpr std::int64_t kHolderReadJitterUs = 150'000;
// Time for which a stopping holder hands over its workers. Twenty round trips
// to the store; new work starts again only with the next holder.
constexpr Duration kMaxHandoverTime = std::chrono::milliseconds(400);
// Value of next_holder_read_ while a read or watch is pending; its result
// schedules the next read.
constexpr Instant kNoHolderReadScheduled = Instant::max();
// The smoothed round trip moves by one part in this many towards each new
// sample.
constexpr int kRoundTripSmoothing = 4;

void ScheduleHolderRead(SchedulerTables& tables, SchedulerTick& tick) {
  tables.next_holder_read_ =
      tick.now() + kHolderReadDelay +
      Duration(UniformInt(tick.random(), kHolderReadJitterUs));
}

void ReadHolder(SchedulerTables& tables, SchedulerTick& tick) {
  tables.next_holder_read_ = kNoHolderReadScheduled;
  GetKey(kHolderKey, ReadingHolder(), tables, tick);
}

// Returns the holder's record in an item; null if no holder can have written
// the item. Each epoch is written by a commit of its own, so an epoch is never
// higher than the revision of the key that holds it.
const HolderRecord* PlausibleRecord(const KvsItem& item) {
  const auto* record =
      item.record() ? std::get_if<HolderRecord>(&*item.record()) : nullptr;
  if (record == nullptr) return nullptr;
  const bool plausible =
      record->epoch() > 0 && record->epoch() <= item.revision();
  return plausible ? record : nullptr;
}

// `odd_holder` is the revision of a holder key that no holder wrote, or 0.
void ObserveNoHolder(std::int64_t odd_holder, SchedulerTables& tables,
                     SchedulerTick& tick) {
  const auto& following = std::get<HolderFollowing>(tables.stage_);
  tables.next_holder_read_ = kNoHolderReadScheduled;
  if (following.claim_at()) return;
  const Duration delay =
      kMinClaimDelay + Duration(UniformInt(tick.random(), kClaimJitterUs)) +
      kRoundTripsBeforeClaim * tables.store_round_trip_ +
      (HasObservedHandovers(tables, tick.now()) ? Duration()
                                                : kUnobservedClaimDelay);
  tables.stage_ = HolderFollowing::Builder()
                      .claim_at(tick.now() + delay)
                      .odd_holder(odd_holder)
                      .Build();
}

void ObserveHolder(std::int64_t revision, SchedulerTables& tables,
                   SchedulerTick& tick) {
  tables.stage_ = HolderFollowing::Builder().holder_seen(true).Build();
  tables.next_holder_read_ = kNoHolderReadScheduled;
  WatchKeys(kHolderKey, revision, tables.policy_.holder_watch(),
            WatchingHolder(), tables, tick);
}

void ResumeFollowing(SchedulerTables& tables, SchedulerTick& tick) {
  tables.stage_ = HolderFollowing();
  ScheduleHolderRead(tables, tick);
}

void RunFollower(const HolderFollowing& following, SchedulerTables& tables,
                 SchedulerTick& tick) {
  if (following.claim_at()) {
    if (tick.now() < *following.claim_at()) {
      return tick.WakeAt(*following.claim_at());
    }
    tables.stage_ =
        HolderClaiming::Builder().odd_holder(following.odd_holder()).Build();
    return OpenLease(tables.policy_.holder_lease(), OpeningHolderLease(),
                     tables, tick);
  }
  if (tables.next_holder_read_ == kNoHolderReadScheduled) return;
  if (tick.now() < tables.next_holder_read_) {
    return tick.WakeAt(tables.next_holder_read_);
  }
  ReadHolder(tables, tick);
}

void RenewIfDue(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.term_.renew_at()) {
    return tick.WakeAt(tables.term_.renew_at());
  }
  const Instant next = tick.now() + tables.policy_.holder_renewal();
  tables.term_ = HolderTerm::Builder(tables.term_).renew_at(next).Build();
  tick.WakeAt(next);
  RenewLease(tables.term_.lease(), RenewingHolderLease(), tables, tick);
}

void EndHolderLease(std::uint64_t lease, SchedulerTables& tables,
                    SchedulerTick& tick) {
  const std::uint64_t ticket = ++tables.last_ticket_;
  tables.store_calls_.Put(ticket, KvsPending::Builder()
                                      .purpose(EndingHolderLease())
                                      .term(tables.term_number_)
                                      .Build());
  tick.Emit(KvsEndLease::Builder().ticket(ticket).lease(lease).Build());
}

// `claimed_at` is a time at which the claim may have been applied at the
// earliest.
void BeginTerm(std::int64_t epoch, std::int64_t revision, std::uint64_t lease,
               Instant claimed_at, SchedulerTables& tables,
               SchedulerTick& tick) {
  tables.term_ = HolderTerm::Builder()
                     .epoch(epoch)
                     .revision(revision)
                     .lease(lease)
                     .renew_at(tick.now() + tables.policy_.holder_renewal())
                     .confirmed_at(claimed_at)
                     .Build();
  LogLine(tick, "cell-taken", 0,
          {Field("epoch", epoch), Field("revision", revision)});
  tick.counters().Add(Counter::kCellTakeovers);
  BeginLoading(tables, tick);
}

}  // namespace

std::string HolderIdentity(const SchedulerPolicy& policy) {
  return policy.member().value() + "#" + std::to_string(policy.incarnation());
}

bool IsActing(const SchedulerTables& tables) {
  return std::holds_alternative<HolderActing>(tables.stage_);
}

bool IsHolder(const SchedulerTables& tables) {
  return IsActing(tables) ||
         std::holds_alternative<HolderLoading>(tables.stage_);
}

void RunLeaderElection(SchedulerTables& tables, SchedulerTick& tick) {
  if (tables.stopping_) return;
  const HolderStage stage = tables.stage_;
  std::visit(Overloaded{
                 [&](const HolderFollowing& following) {
                   RunFollower(following, tables, tick);
                 },
                 [&](const HolderClaiming&) {},
                 [&](const HolderLoading&) { RenewIfDue(tables, tick); },
                 [&](const HolderActing&) { RenewIfDue(tables, tick); },
             },
             stage);
}

void ResignCell(SchedulerTables& tables, SchedulerTick& tick) {
  if (tables.stopping_) return;
  tables.stopping_ = true;
  if (const auto* claiming = std::get_if<HolderClaiming>(&tables.stage_)) {
    const std::uint64_t lease = claiming->lease();
    // A claim that is in flight must not succeed.
    ClearTermState(tables);
    tables.stage_ = HolderFollowing();
    if (lease != 0) EndHolderLease(lease, tables, tick);
    return;
  }
  if (!IsHolder(tables)) return;
  if (IsActing(tables)) HandOverAllWorkers(tables);
  const bool hands_over = IsActing(tables) && !tables.store_failing_since_;
  tables.release_at_ = hands_over ? tick.now() + kMaxHandoverTime : tick.now();
}

void ReleaseCell(SchedulerTables& tables, SchedulerTick& tick) {
  if (!tables.release_at_ || !IsHolder(tables)) return;
  const std::size_t left = tables.handover_changes_.size();
  const bool handed_over =
      IsActing(tables) && !tables.commit_.has_value() && left == 0;
  if (!handed_over && tick.now() < *tables.release_at_) {
    return tick.WakeAt(*tables.release_at_);
  }
  LogLine(tick, "cell-handed-over", 0,
          {Field("epoch", tables.term_.epoch()),
           Field("complete", handed_over ? 1 : 0), Field("left", left)});
  const std::uint64_t lease = tables.term_.lease();
  StepDown("stop requested", tables, tick);
  EndHolderLease(lease, tables, tick);
}

void StepDown(std::string_view cause, SchedulerTables& tables,
              SchedulerTick& tick) {
  LogLine(tick, "cell-lost", 0,
          {Field("epoch", tables.term_.epoch()),
           Field("cause", std::string(cause))});
  tick.counters().Add(Counter::kCellLosses);
  for (const auto& [member, row] : tables.members_) {
    tick.Emit(DropPeer::Builder().member(member).Build());
  }
  ClearTermState(tables);
  tables.stage_ = HolderFollowing();
  tables.next_holder_read_ = tick.now();
}

void HandleHolderRead(const KvsResult& result, Duration round_trip,
                      SchedulerTables& tables, SchedulerTick& tick) {
  if (!std::holds_alternative<HolderFollowing>(tables.stage_)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return ScheduleHolderRead(tables, tick);
  tables.store_round_trip_ +=
      (round_trip - tables.store_round_trip_) / kRoundTripSmoothing;
  if (read->items().empty()) return ObserveNoHolder(0, tables, tick);
  const KvsItem& item = read->items().front();
  const HolderRecord* holder = PlausibleRecord(item);
  // Such a key is bound to no holder's lease, so waiting for its end would be
  // in vain.
  if (holder == nullptr) {
    ReportOddItem(item, tick);
    return ObserveNoHolder(item.revision(), tables, tick);
  }
  // The result of an earlier claim may have been lost although the store
  // applied it. The stored holder record then carries the identity of this
  // process.
  if (holder->instance() == HolderIdentity(tables.policy_)) {
    if (tables.stopping_) {
      return EndHolderLease(tables.term_.lease(), tables, tick);
    }
    return BeginTerm(holder->epoch(), item.revision(), tables.term_.lease(),
                     tick.now() - round_trip, tables, tick);
  }
  tick.Emit(HolderEpochSeen::Builder().epoch(holder->epoch()).Build());
  ObserveHolder(read->revision(), tables, tick);
}

void HandleHolderWatch(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick) {
  if (!std::holds_alternative<HolderFollowing>(tables.stage_)) return;
  const auto* changes = std::get_if<KvsItems>(&result);
  if (changes == nullptr) {
    const bool gone = std::holds_alternative<KvsHistoryCompacted>(result);
    return gone ? ReadHolder(tables, tick) : ScheduleHolderRead(tables, tick);
  }
  if (changes->items().empty() && !changes->removed().empty()) {
    return ObserveNoHolder(0, tables, tick);
  }
  // A watch may miss changes, so the key is read after every notification.
  ReadHolder(tables, tick);
}

void HandleHolderLease(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick) {
  const auto* opened = std::get_if<KvsLeaseOpened>(&result);
  if (const auto* claiming = std::get_if<HolderClaiming>(&tables.stage_)) {
    if (opened == nullptr) return ResumeFollowing(tables, tick);
    tables.stage_ =
        HolderClaiming::Builder(*claiming).lease(opened->lease()).Build();
    return GetKey(kEpochKey, ReadingEpoch(), tables, tick);
  }
  if (!IsHolder(tables) || opened == nullptr) return;
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .lease(opened->lease())
                     .restore_holder(true)
                     .Build();
}

void HandleEpochRead(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick) {
  const auto* claiming = std::get_if<HolderClaiming>(&tables.stage_);
  if (claiming == nullptr) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return ResumeFollowing(tables, tick);
  std::int64_t epoch = 0;
  std::int64_t revision = 0;
  if (!read->items().empty()) {
    const KvsItem& item = read->items().front();
    const HolderRecord* stored = PlausibleRecord(item);
    if (stored == nullptr) ReportOddItem(item, tick);
    // The revision is at least the epoch that the odd value has replaced.
    epoch = stored == nullptr ? item.revision() : stored->epoch();
    revision = item.revision();
  }
  const HolderRecord record = HolderRecord::Builder()
                                  .epoch(epoch + 1)
                                  .instance(HolderIdentity(tables.policy_))
                                  .Build();
  tables.term_ =
      HolderTerm::Builder().epoch(epoch + 1).lease(claiming->lease()).Build();
  CommitKeys({KvsPrecondition::Builder()
                  .key(std::string(kHolderKey))
                  .revision(claiming->odd_holder())
                  .Build(),
              KvsPrecondition::Builder()
                  .key(std::string(kEpochKey))
                  .revision(revision)
                  .Build()},
             {MakePut(std::string(kHolderKey), record, claiming->lease()),
              MakePut(std::string(kEpochKey), record)},
             {}, ClaimingCell(), tables, tick);
}

void HandleClaimResult(const KvsResult& result, Instant asked_at,
                       SchedulerTables& tables, SchedulerTick& tick) {
  if (!std::holds_alternative<HolderClaiming>(tables.stage_)) return;
  const auto* committed = std::get_if<KvsCommitted>(&result);
  if (committed == nullptr) return ResumeFollowing(tables, tick);
  BeginTerm(tables.term_.epoch(), committed->revision(), tables.term_.lease(),
            asked_at, tables, tick);
}

void HandleRenewalResult(const KvsResult& result, SchedulerTables& tables,
                         SchedulerTick& tick) {
  if (!IsHolder(tables)) return;
  if (!std::holds_alternative<KvsLeaseNotFound>(result)) return;
  LogLine(tick, "holder-lease-gone", 0, {Field("epoch", tables.term_.epoch())});
  OpenLease(tables.policy_.holder_lease(), OpeningHolderLease(), tables, tick);
}

}  // namespace quetzalline
