#include "systems/scheduler/confirm_epoch.h"

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/campaign.h"

namespace quetzalline {
namespace {

// A holder ticks at least twice a second; a longer gap means that the process
// stood still, and what it hears next may be old.
constexpr Duration kLongestTickGap = std::chrono::milliseconds(700);
constexpr Duration kConfirmPause = std::chrono::milliseconds(300);

// Whether most runners spoke to this holder lately. Runners follow the highest
// epoch that they know, so that no later holder can have most of them too.
bool HasMajority(const SchedulerTables& tables, Instant now) {
  std::size_t runners = 0;
  std::size_t heard = 0;
  for (const auto& [name, row] : tables.members_) {
    if (row.record().role() != MemberRole::kRunner) continue;
    ++runners;
    if (row.connection() && now - row.heard_at() <= kContactWindow) ++heard;
  }
  return 2 * heard > runners;
}

}  // namespace

bool MayAct(const SchedulerTables& tables, Instant now) {
  if (now - tables.term_.confirmed_at() <= kContactWindow) return true;
  return now >= tables.contact_untrusted_until_ && HasMajority(tables, now);
}

void NoticePause(SchedulerTables& tables, SchedulerTick& tick) {
  const bool paused = tick.now() - tables.last_tick_ > kLongestTickGap;
  tables.last_tick_ = tick.now();
  if (!paused || !IsHolder(tables)) return;
  LogLine(tick, "pause-noticed", 0, {Field("epoch", tables.term_.epoch())});
  tables.contact_untrusted_until_ = tick.now() + kContactWindow;
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(Instant()).Build();
}

void ConfirmEpoch(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.next_confirm_) return;
  tables.next_confirm_ = tick.now() + kConfirmPause;
  GetKey(kEpochKey, ConfirmingEpoch(), tables, tick);
}

void TakeEpochCheck(const KvsResult& result, SchedulerTables& tables,
                    SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return;
  const HolderRecord* kept = HolderIn(*read);
  if (kept == nullptr || kept->epoch() != tables.term_.epoch()) {
    return StepDown("a later epoch is kept", tables, tick);
  }
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(tick.now()).Build();
}

}  // namespace quetzalline
