#include "adapters/node_loop.h"

namespace quetzalline {

Instant ReadClock() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(since));
}

}  // namespace quetzalline
