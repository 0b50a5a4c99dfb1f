#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CORRELATE_CRASHES_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CORRELATE_CRASHES_H_

#include <cstdint>
#include <utility>

#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Runner and start of the lost incarnation of a crash.
using CrashKey = std::pair<MemberName, std::int64_t>;

/// Returns true if the crash is part of a loss of several workers that share a
/// zone or a label, such as their rack. No task may be at fault then: none of
/// these crashes is conclusive. The tasks stay suspects, since several tasks
/// that crash their workers may cause such a loss, too.
bool ExcuseCorrelated(const CrashKey& key, SchedulerTables& tables,
                      SchedulerTick& tick);

/// Forgets what was held against the task, which may start anywhere again.
void ClearSuspect(const TaskKey& key, SchedulerTables& tables,
                  SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CORRELATE_CRASHES_H_
