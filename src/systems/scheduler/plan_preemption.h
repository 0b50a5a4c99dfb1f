#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_PLAN_PREEMPTION_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_PLAN_PREEMPTION_H_

#include <map>
#include <vector>

#include "core/step_key.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Tasks that may be stopped and started elsewhere, by worker; each list is in
/// the order of rising CPU.
using MovableTasks = std::map<MemberName, std::vector<TaskKey>>;

/// Returns the tasks to stop so that a ready task of the step, or its whole
/// gang, can start on the workers of `movable`. Returns nothing if it can start
/// without, or if stopping tasks makes no room for it.
std::vector<TaskKey> PlanPreemption(const StepKey& key,
                                    const MovableTasks& movable,
                                    const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_PLAN_PREEMPTION_H_
