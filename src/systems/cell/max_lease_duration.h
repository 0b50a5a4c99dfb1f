#ifndef QUETZALLINE_SYSTEMS_CELL_MAX_LEASE_DURATION_H_
#define QUETZALLINE_SYSTEMS_CELL_MAX_LEASE_DURATION_H_

#include "core/time.h"

namespace quetzalline {

/// Returns the time after a grant by which a lease of the given duration has
/// certainly expired on the worker, whose clock may be slow.
inline Duration MaxLeaseDuration(Duration lease) {
  // Largest drift of a slow worker's clock, in thousandths.
  constexpr std::int64_t kMaxClockDriftPerMille = 30;
  // Covers timers that fire late and the transmission of the last grant.
  constexpr Duration kLeaseMargin = std::chrono::milliseconds(400);
  return lease + lease * kMaxClockDriftPerMille / 1000 + kLeaseMargin;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_MAX_LEASE_DURATION_H_
