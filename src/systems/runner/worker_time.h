#ifndef QUETZALLINE_SYSTEMS_RUNNER_WORKER_TIME_H_
#define QUETZALLINE_SYSTEMS_RUNNER_WORKER_TIME_H_

#include <cstdint>

#include "core/time.h"
#include "tables/worker_clock.h"

namespace quetzalline {

/// Returns what the worker's clock shows at a time, in milliseconds: the least
/// that is possible, as the clock may be slow. What ends then ends in time.
std::int64_t EarliestWorkerTime(Instant time, const WorkerClock& clock);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_WORKER_TIME_H_
