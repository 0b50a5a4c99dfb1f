#ifndef QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_
#define QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_

#include "core/ids.h"
#include "core/table.h"
#include "tables/worker_health.h"

namespace quetzalline {

/// How tasks have fared on each instance on which one failed lately.
using WorkerHealthTable = Table<EndpointId, WorkerHealth>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_HEALTH_TABLE_H_
