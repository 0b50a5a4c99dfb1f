#include "adapters/node_loop.h"

#include <time.h>

namespace quetzalline {

// The boot-time clock goes on while the machine is suspended, so that leases
// that ran out meanwhile are seen to have run out.
Instant ReadClock() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace quetzalline
