#include "systems/scheduler/track_attention.h"

#include <algorithm>
#include <utility>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/leader_election.h"

namespace quetzalline {
namespace {

// Longest time between two ticks of a holder, and what of a longer one counts
// as attention: twice as much, since timers fire late.
constexpr Duration kLongestPause = std::chrono::milliseconds(100);
constexpr Duration kMaxCountedPause = std::chrono::milliseconds(200);
// Tasks that the first tick of a burst starts, and that any tick starts at most
// and at least. Further ones follow in the next, after the messages and the
// leases that are due by then.
constexpr std::int32_t kFirstStartsPerTick = 8;
constexpr std::int32_t kMaxStartsPerTick = 64;
constexpr std::int32_t kMinStartsPerTick = 2;
// A longer time is logged, at most once in the interval.
constexpr Duration kLoggedPause = std::chrono::milliseconds(500);
constexpr Duration kLogInterval = std::chrono::seconds(1);
// A twentieth of the silence after which a connection counts as lost.
constexpr Duration kWalkInterval = std::chrono::milliseconds(50);

// Doubles the starts of a tick while there are more of them and ticks stay
// short, and halves them when ticks take long.
void AdaptStarts(Duration pause, SchedulerTables& tables) {
  std::int32_t starts = tables.starts_per_tick_;
  if (pause > kMaxCountedPause) {
    starts /= 2;
  } else if (!tables.starts_limited_) {
    starts = kFirstStartsPerTick;
  } else if (2 * pause < kLongestPause) {
    starts *= 2;
  }
  tables.starts_per_tick_ =
      std::clamp(starts, kMinStartsPerTick, kMaxStartsPerTick);
}

}  // namespace

void TrackAttention(SchedulerTables& tables, SchedulerTick& tick) {
  const Instant last = std::exchange(tables.attended_at_, tick.now());
  if (last == Instant()) {
    tables.attention_ = tick.now();
    return;
  }
  const Duration pause = tick.now() - last;
  tables.attention_ += std::min(pause, kMaxCountedPause);
  tables.longest_pause_ = std::max(tables.longest_pause_, pause);
  AdaptStarts(pause, tables);
  if (!IsActing(tables)) return;
  tick.WakeAt(tick.now() + kLongestPause);
  if (pause < kLoggedPause || tick.now() < tables.next_pause_log_) return;
  tables.next_pause_log_ = tick.now() + kLogInterval;
  LogLine(tick, "holder-late", 0,
          {Field("epoch", tables.term_.epoch()), FieldMs("pause_ms", pause)});
}

bool IsWalkDue(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return false;
  if (tick.now() < tables.next_walk_) {
    tick.WakeAt(tables.next_walk_);
    return false;
  }
  tables.next_walk_ = tick.now() + kWalkInterval;
  return true;
}

}  // namespace quetzalline
