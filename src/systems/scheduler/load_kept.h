#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_KEPT_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_KEPT_H_

#include <string>

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Starts to read the jobs, the members and the configuration that are kept.
void BeginLoading(SchedulerTables& tables, SchedulerTick& tick);

/// Reads again what could not be read.
void RetryLoading(SchedulerTables& tables, SchedulerTick& tick);

/// Takes up one of the answers; after the last, the holder acts.
void TakeLoaded(const std::string& prefix, const KvsResult& result,
                SchedulerTables& tables, SchedulerTick& tick);

/// Empties every table of the term.
void ForgetTerm(SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LOAD_KEPT_H_
