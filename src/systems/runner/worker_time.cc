#include "systems/runner/worker_time.h"

#include <chrono>

namespace quetzalline {
namespace {

// Rate of the slowest clock that a worker may have.
constexpr std::int64_t kMinClockRatePerMille = 970;

}  // namespace

std::int64_t EarliestWorkerTime(Instant time, const WorkerClock& clock) {
  const std::int64_t elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(time -
                                                            clock.read_at())
          .count();
  return clock.clock_ms() +
         (elapsed > 0 ? elapsed * kMinClockRatePerMille / 1000 : elapsed);
}

}  // namespace quetzalline
