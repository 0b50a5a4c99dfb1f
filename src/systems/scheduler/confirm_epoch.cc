#include "systems/scheduler/confirm_epoch.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/runner_majority.h"

namespace quetzalline {
namespace {

// A holder ticks at least twice a second. A longer gap means that the process
// was stalled, and messages received next may be old.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(700);
constexpr Duration kConfirmInterval = std::chrono::milliseconds(300);

// Returns true if a majority of runners contacted this holder within
// kContactWindow.
bool HasMajority(const SchedulerTables& tables, Instant now) {
  return HasRunnerMajority(tables,
                           [&](const MemberName&, const MemberRow& row) {
                             return row.connection() && row.answered() &&
                                    now - row.heard_at() <= kContactWindow;
                           });
}

}  // namespace

bool MayAct(const SchedulerTables& tables, Instant now) {
  if (now - tables.term_.confirmed_at() <= kContactWindow) return true;
  // Without a majority at any moment since the store last confirmed the epoch,
  // a later holder may have acted, and runners may have followed it.
  const bool unbroken =
      tables.majority_missed_at_ <= tables.term_.confirmed_at();
  return unbroken && now >= tables.contact_untrusted_until_ &&
         HasMajority(tables, now);
}

void TrackMajority(SchedulerTables& tables, SchedulerTick& tick) {
  if (!HasMajority(tables, tick.now())) {
    tables.majority_missed_at_ = tick.now();
  }
}

void DetectStall(SchedulerTables& tables, SchedulerTick& tick) {
  const bool stalled = tick.now() - tables.last_tick_ > kMaxTickGap;
  tables.last_tick_ = tick.now();
  if (!stalled || !IsHolder(tables)) return;
  LogLine(tick, "stall-detected", 0, {Field("epoch", tables.term_.epoch())});
  tables.contact_untrusted_until_ = tick.now() + kContactWindow;
  tables.majority_missed_at_ = tick.now();
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(Instant()).Build();
}

void ConfirmEpoch(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.next_confirm_) return;
  tables.next_confirm_ = tick.now() + kConfirmInterval;
  GetKey(kEpochKey, ConfirmingEpoch(), tables, tick);
}

void HandleEpochCheck(const KvsResult& result, Instant asked_at,
                      SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return;
  const HolderRecord* stored = HolderRecordIn(*read);
  if (stored == nullptr || stored->epoch() != tables.term_.epoch()) {
    return StepDown("the store shows another epoch", tables, tick);
  }
  ConfirmEpochAt(asked_at, tables);
}

void ConfirmEpochAt(Instant asked_at, SchedulerTables& tables) {
  tables.term_ =
      HolderTerm::Builder(tables.term_)
          .confirmed_at(std::max(tables.term_.confirmed_at(), asked_at))
          .Build();
}

}  // namespace quetzalline
