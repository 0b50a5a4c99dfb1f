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

/// The source of every draw a system makes. Its seed comes in from outside, so
/// that a session can be repeated.
using Random = std::mt19937_64;

/// A whole number between zero and bound, both included.
inline std::int64_t Draw(Random& random, std::int64_t bound) {
  return std::uniform_int_distribution<std::int64_t>(0, bound)(random);
}

/// What a tick gives to each system besides its tables: the time, a source of
/// draws, the counters, and the place to put effects and wake-ups.
template <typename Effect>
class Tick {
 public:
  Tick(Instant now, Random& random, Counters& counters)
      : now_(now), random_(random), counters_(counters) {}

  Instant now() const { return now_; }
  Random& random() { return random_; }
  Counters& counters() { return counters_; }

  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }

  /// Asks for another tick at this time at the latest.
  void WakeAt(Instant time) {
    wake_at_ = wake_at_ ? std::min(*wake_at_, time) : time;
  }
  void WakeAt(std::optional<Instant> time) {
    if (time) WakeAt(*time);
  }

  std::optional<Instant> wake_at() const { return wake_at_; }
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
