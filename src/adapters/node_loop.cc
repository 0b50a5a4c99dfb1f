#include "adapters/node_loop.h"

#include <time.h>

namespace quetzalline {

// CLOCK_BOOTTIME includes the time that the instance is suspended, so leases
// that expired during a suspension are recognized as expired.
Instant ReadClock() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace quetzalline
