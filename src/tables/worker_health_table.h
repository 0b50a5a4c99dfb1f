#ifndef QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_
#define QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_

#include "core/ids.h"
#include "core/table.h"
#include "tables/worker_health.h"

namespace quetzalline {

/// Failure history of the instances on which a task failed recently.
using WorkerHealthTable = Table<EndpointId, WorkerHealth>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_
