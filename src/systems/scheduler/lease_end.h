#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_

#include <algorithm>

#include "core/time.h"
#include "systems/cell/max_lease_duration.h"
#include "tables/worker_row.h"

namespace quetzalline {

/// Returns the time by which every lease that this holder has granted to the
/// worker, or whose foreign lease its runner has reported, has certainly
/// expired; unset if there is none.
inline Instant LeaseEnd(const WorkerRow& worker, Duration task_lease) {
  if (worker.granted_at() == Instant()) return worker.foreign_lease_end();
  return std::max(worker.granted_at() + MaxLeaseDuration(task_lease),
                  worker.foreign_lease_end());
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LEASE_END_H_
