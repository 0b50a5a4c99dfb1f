#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_STORED_STATE_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_STORED_STATE_H_

#include <string>

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Clears the state of the previous term and starts to read the stored jobs,
/// members and configuration.
void BeginLoading(SchedulerTables& tables, SchedulerTick& tick);

/// Repeats failed reads after a delay.
void RetryLoading(SchedulerTables& tables, SchedulerTick& tick);

/// Handles the result of one read, identified by its prefix. After the last one
/// the process acts as the holder of the cell's leader lease.
void HandleLoadResult(const std::string& prefix, const KvsResult& result,
                      SchedulerTables& tables, SchedulerTick& tick);

/// Clears all state that belongs to the current term. Policy, counters, pending
/// store calls, clock data and the stop request remain.
void ClearTermState(SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_STORED_STATE_H_
