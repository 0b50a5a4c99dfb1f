#ifndef QUETZALLINE_CORE_TIME_H_
#define QUETZALLINE_CORE_TIME_H_

#include <chrono>

namespace quetzalline {

/// A span of time; every stored or encoded duration is in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. It cannot be read from here: the time
/// comes in with each tick.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock of one process; meaningless in any other.
using Instant = MonotonicClock::time_point;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TIME_H_
