#ifndef QUETZALLINE_CORE_TICK_H_
#define QUETZALLINE_CORE_TICK_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "core/time.h"

namespace quetzalline {

/// The random number generator of all systems. It is seeded by the caller, so
/// that a run can be reproduced.
using Random = std::mt19937_64;

/// Returns a uniformly distributed integer in the range [0, bound].
inline std::int64_t UniformInt(Random& random, std::int64_t bound) {
  return std::uniform_int_distribution<std::int64_t>(0, bound)(random);
}

/// The context of one tick, which each system gets in addition to its tables:
/// the current time, the random number generator and the counters. It collects
/// the effects that the systems emit and the time of the next tick.
template <typename Effect>
class Tick {
 public:
  Tick(Instant now, Random& random, Counters& counters)
      : now_(now), random_(random), counters_(counters) {}

  Instant now() const { return now_; }
  Random& random() { return random_; }
  Counters& counters() { return counters_; }

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }

  /// Requests another tick at this time at the latest. The earliest request
  /// counts.
  void WakeAt(Instant time) {
    wake_at_ = wake_at_ ? std::min(*wake_at_, time) : time;
  }
  void WakeAt(std::optional<Instant> time) {
    if (time) WakeAt(*time);
  }

  std::optional<Instant> wake_at() const { return wake_at_; }
  /// Moves the collected effects out.
  std::vector<Effect> TakeEffects() { return std::move(effects_); }

 private:
  Instant now_;
  Random& random_;
  Counters& counters_;
  std::vector<Effect> effects_;
  std::optional<Instant> wake_at_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TICK_H_
