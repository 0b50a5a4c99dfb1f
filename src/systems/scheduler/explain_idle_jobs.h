#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_

#include "core/step_key.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/placement_pass.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// A job is logged once it has been idle for this long, and again whenever that
/// time has doubled.
constexpr Duration kFirstIdleLine = std::chrono::seconds(1);

/// Logs why a step of an idle job has no worker. Each job is logged at
/// intervals that grow with its wait, and all together at a bounded rate.
void LogIdleJob(const StepKey& key, const WaitCauses& causes,
                PlacementPass& pass, SchedulerTables& tables,
                SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_
