#include "systems/scheduler/campaign.h"

#include <algorithm>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/load_kept.h"

namespace quetzalline {
namespace {

// Candidates wait a little before they claim, those far from the store longer,
// so that one of them is ahead of the others and is near the store.
constexpr Duration kShortestClaimWait = std::chrono::milliseconds(20);
constexpr std::int64_t kClaimSpreadUs = 80'000;
constexpr int kRoundTripsBeforeClaim = 8;
// Pause before a failed read of the holder is repeated.
constexpr Duration kLookPause = std::chrono::milliseconds(150);
constexpr std::int64_t kLookSpreadUs = 150'000;
// A look is under way; its answer sets the next.
constexpr Instant kNoLook = Instant::max();
// Weight of a new round trip in the smoothed one is one in this many.
constexpr int kRoundTripShare = 4;

void LookAgainLater(SchedulerTables& tables, SchedulerTick& tick) {
  tables.next_look_ = tick.now() + kLookPause +
                      Duration(UniformInt(tick.random(), kLookSpreadUs));
}

void ReadHolder(SchedulerTables& tables, SchedulerTick& tick) {
  tables.next_look_ = kNoLook;
  GetKey(kHolderKey, ReadingHolder(), tables, tick);
}

void SeeNoHolder(SchedulerTables& tables, SchedulerTick& tick) {
  const auto& following = std::get<HolderFollowing>(tables.stage_);
  tables.next_look_ = kNoLook;
  if (following.claim_at()) return;
  const Duration wait = kShortestClaimWait +
                        Duration(UniformInt(tick.random(), kClaimSpreadUs)) +
                        kRoundTripsBeforeClaim * tables.store_round_trip_;
  tables.stage_ =
      HolderFollowing::Builder().claim_at(tick.now() + wait).Build();
}

void SeeHolder(std::int64_t revision, SchedulerTables& tables,
               SchedulerTick& tick) {
  tables.stage_ = HolderFollowing::Builder().holder_seen(true).Build();
  tables.next_look_ = kNoLook;
  WatchKeys(kHolderKey, revision, tables.policy_.holder_watch(),
            WatchingHolder(), tables, tick);
}

void FollowAgain(SchedulerTables& tables, SchedulerTick& tick) {
  tables.stage_ = HolderFollowing();
  LookAgainLater(tables, tick);
}

void Follow(const HolderFollowing& following, SchedulerTables& tables,
            SchedulerTick& tick) {
  if (following.claim_at()) {
    if (tick.now() < *following.claim_at()) {
      return tick.WakeAt(*following.claim_at());
    }
    tables.stage_ = HolderClaiming();
    return OpenLease(tables.policy_.holder_lease(), OpeningHolderLease(),
                     tables, tick);
  }
  if (tables.next_look_ == kNoLook) return;
  if (tick.now() < tables.next_look_) return tick.WakeAt(tables.next_look_);
  ReadHolder(tables, tick);
}

void Renew(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.term_.renew_at()) {
    return tick.WakeAt(tables.term_.renew_at());
  }
  const Instant next = tick.now() + tables.policy_.holder_renewal();
  tables.term_ = HolderTerm::Builder(tables.term_).renew_at(next).Build();
  tick.WakeAt(next);
  RenewLease(tables.term_.lease(), RenewingHolderLease(), tables, tick);
}

void BeginTerm(std::int64_t epoch, std::int64_t revision, std::uint64_t lease,
               SchedulerTables& tables, SchedulerTick& tick) {
  tables.term_ = HolderTerm::Builder()
                     .epoch(epoch)
                     .revision(revision)
                     .lease(lease)
                     .renew_at(tick.now() + tables.policy_.holder_renewal())
                     .confirmed_at(tick.now())
                     .Build();
  LogLine(tick, "cell-taken", 0,
          {Field("epoch", epoch), Field("revision", revision)});
  tick.counters().Add(Counter::kCellTakeovers);
  BeginLoading(tables, tick);
}

}  // namespace

std::string HolderSignature(const SchedulerPolicy& policy) {
  return policy.member().value() + "#" + std::to_string(policy.incarnation());
}

bool IsActing(const SchedulerTables& tables) {
  return std::holds_alternative<HolderActing>(tables.stage_);
}

bool IsHolder(const SchedulerTables& tables) {
  return IsActing(tables) ||
         std::holds_alternative<HolderLoading>(tables.stage_);
}

void Campaign(SchedulerTables& tables, SchedulerTick& tick) {
  if (tables.stopping_) return;
  const HolderStage stage = tables.stage_;
  std::visit(
      Overloaded{
          [&](const HolderFollowing& held) { Follow(held, tables, tick); },
          [&](const HolderClaiming&) {},
          [&](const HolderLoading&) { Renew(tables, tick); },
          [&](const HolderActing&) { Renew(tables, tick); },
      },
      stage);
}

void ResignCell(SchedulerTables& tables, SchedulerTick& tick) {
  tables.stopping_ = true;
  if (!IsHolder(tables)) return;
  const std::uint64_t lease = tables.term_.lease();
  StepDown("stop requested", tables, tick);
  const std::uint64_t ticket = ++tables.last_ticket_;
  tables.store_calls_.Put(ticket, KvsPending::Builder()
                                      .purpose(EndingHolderLease())
                                      .term(tables.term_number_)
                                      .Build());
  tick.Emit(KvsEndLease::Builder().ticket(ticket).lease(lease).Build());
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
  ForgetTerm(tables);
  tables.stage_ = HolderFollowing();
  tables.next_look_ = tick.now();
}

void TakeHolderRead(const KvsResult& result, Duration round_trip,
                    SchedulerTables& tables, SchedulerTick& tick) {
  if (!std::holds_alternative<HolderFollowing>(tables.stage_)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return LookAgainLater(tables, tick);
  tables.store_round_trip_ +=
      (round_trip - tables.store_round_trip_) / kRoundTripShare;
  if (read->items().empty()) return SeeNoHolder(tables, tick);
  const KvsItem& item = read->items().front();
  const auto* holder =
      item.record() ? std::get_if<HolderRecord>(&*item.record()) : nullptr;
  // A claim without an answer may have been done after all.
  if (holder != nullptr &&
      holder->instance() == HolderSignature(tables.policy_)) {
    return BeginTerm(holder->epoch(), item.revision(), tables.term_.lease(),
                     tables, tick);
  }
  SeeHolder(read->revision(), tables, tick);
}

void TakeHolderWatch(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick) {
  if (!std::holds_alternative<HolderFollowing>(tables.stage_)) return;
  const auto* changes = std::get_if<KvsItems>(&result);
  if (changes == nullptr) {
    const bool gone = std::holds_alternative<KvsHistoryGone>(result);
    return gone ? ReadHolder(tables, tick) : LookAgainLater(tables, tick);
  }
  if (changes->items().empty() && !changes->removed().empty()) {
    return SeeNoHolder(tables, tick);
  }
  // A watch may miss changes, so that the key is read after each.
  ReadHolder(tables, tick);
}

void TakeHolderLease(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick) {
  const auto* opened = std::get_if<KvsLeaseOpened>(&result);
  if (std::holds_alternative<HolderClaiming>(tables.stage_)) {
    if (opened == nullptr) return FollowAgain(tables, tick);
    tables.stage_ = HolderClaiming::Builder().lease(opened->lease()).Build();
    return GetKey(kEpochKey, ReadingEpoch(), tables, tick);
  }
  if (!IsHolder(tables) || opened == nullptr) return;
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .lease(opened->lease())
                     .restore_holder(true)
                     .Build();
}

void TakeEpochRead(const KvsResult& result, SchedulerTables& tables,
                   SchedulerTick& tick) {
  const auto* claiming = std::get_if<HolderClaiming>(&tables.stage_);
  if (claiming == nullptr) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return FollowAgain(tables, tick);
  std::int64_t epoch = 0;
  std::int64_t revision = 0;
  if (!read->items().empty()) {
    const KvsItem& item = read->items().front();
    const auto* kept =
        item.record() ? std::get_if<HolderRecord>(&*item.record()) : nullptr;
    if (kept == nullptr) return FollowAgain(tables, tick);
    epoch = kept->epoch();
    revision = item.revision();
  }
  const HolderRecord record = HolderRecord::Builder()
                                  .epoch(epoch + 1)
                                  .instance(HolderSignature(tables.policy_))
                                  .Build();
  tables.term_ =
      HolderTerm::Builder().epoch(epoch + 1).lease(claiming->lease()).Build();
  CommitKeys({KvsExpectation::Builder().key(std::string(kHolderKey)).Build(),
              KvsExpectation::Builder()
                  .key(std::string(kEpochKey))
                  .revision(revision)
                  .Build()},
             {PutOf(std::string(kHolderKey), record, claiming->lease()),
              PutOf(std::string(kEpochKey), record)},
             {}, ClaimingCell(), tables, tick);
}

void TakeClaim(const KvsResult& result, SchedulerTables& tables,
               SchedulerTick& tick) {
  if (!std::holds_alternative<HolderClaiming>(tables.stage_)) return;
  const auto* done = std::get_if<KvsCommitted>(&result);
  if (done == nullptr) return FollowAgain(tables, tick);
  BeginTerm(tables.term_.epoch(), done->revision(), tables.term_.lease(),
            tables, tick);
}

void TakeRenewal(const KvsResult& result, SchedulerTables& tables,
                 SchedulerTick& tick) {
  if (!IsHolder(tables)) return;
  if (!std::holds_alternative<KvsLeaseGone>(result)) return;
  LogLine(tick, "holder-lease-gone", 0, {Field("epoch", tables.term_.epoch())});
  OpenLease(tables.policy_.holder_lease(), OpeningHolderLease(), tables, tick);
}

}  // namespace quetzalline
