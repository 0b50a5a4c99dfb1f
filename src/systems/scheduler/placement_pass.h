#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_PLACEMENT_PASS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_PLACEMENT_PASS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "systems/scheduler/estimate_interference.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// A worker as one placement pass sees it. Its rows are looked up once, not for
/// each task that might run there.
struct PassWorker {
  MemberName name_;
  /// Valid until the row is replaced, which no placement does.
  const WorkerRow* row_ = nullptr;
  WorkerUse use_;
  /// Set once a best-effort task asks for it.
  std::optional<WorkerForecast> forecast_;
};

/// CPU of a service's sound workers, in thousandths of a core.
struct ServiceLoad {
  std::int64_t reserved_ = 0;
  std::int64_t capacity_ = 0;
};

/// The workers of one placement pass, and what its decisions share.
struct PlacementPass {
  /// The workers that may receive new tasks, in the order of their names.
  std::vector<PassWorker> workers_;
  /// Load by service of the workers whose CPU counts as capacity.
  std::map<ServiceName, ServiceLoad> loads_;
  InterferenceMatrix interference_;
  /// Tasks that may still be started in this tick.
  std::int32_t starts_left_ = 0;
};

/// Returns the pass at `now`. No tasks are started on the excluded workers.
PlacementPass BeginPass(const SchedulerTables& tables, Instant now,
                        const std::set<MemberName>& excluded);

/// Returns the position of a worker, or nothing if it may receive no tasks.
std::optional<std::size_t> FindWorker(const MemberName& name,
                                      const PlacementPass& pass);

/// Updates a worker after a task was placed there.
void RefreshWorker(std::size_t position, const SchedulerTables& tables,
                   PlacementPass& pass);

/// Returns the forecast of a worker's services.
const WorkerForecast& ForecastOf(std::size_t position,
                                 const SchedulerTables& tables,
                                 PlacementPass& pass);

/// Returns true if less than half of the CPU of the service's sound workers is
/// reserved.
bool IsHalfFree(const ServiceName& service, const PlacementPass& pass);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_PLACEMENT_PASS_H_
