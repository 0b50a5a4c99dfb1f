#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_MEASURE_CELL_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_MEASURE_CELL_H_

#include <vector>

#include "core/gauge.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns gauges that show where the tasks of the cell are held up: in a state
/// that is unknown since a failover, ready without a worker, or assigned to a
/// worker that has not listed its runs. All are 0 unless this process is the
/// holder.
std::vector<Gauge> MeasureCell(const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_MEASURE_CELL_H_
