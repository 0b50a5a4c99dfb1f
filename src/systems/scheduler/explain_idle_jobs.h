#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_

#include <cstddef>
#include <map>
#include <string>

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

/// Finds, at intervals, the jobs that could be expected to run and have nothing
/// running, and why. Tasks of unknown state and tasks on a worker that gives no
/// sign of life do not count as running. Logs the jobs that something else than
/// the choice of a worker holds, at the rate of LogIdleJob(). A job that waits
/// as its definition says, for a due time, is not idle.
/// A run between two searches may be missed. Decides nothing.
void ExplainIdleJobs(SchedulerTables& tables, SchedulerTick& tick);

/// Returns the number of jobs that have been idle for kFirstIdleLine, by the
/// name of each possible reason.
std::map<std::string, std::size_t> CountIdleReasons(
    const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_EXPLAIN_IDLE_JOBS_H_
