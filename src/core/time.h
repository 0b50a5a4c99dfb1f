#ifndef QUETZALLINE_CORE_TIME_H_
#define QUETZALLINE_CORE_TIME_H_

#include <chrono>

namespace quetzalline {

/// A duration in microseconds, the unit of all stored and encoded durations.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. It has no now(): systems get the current
/// time from their tick.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock of one process. It has no meaning in
/// other processes.
using Instant = MonotonicClock::time_point;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TIME_H_
