#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_CRASHES_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_CRASHES_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "core/run_end.h"
#include "messages/worker_report.h"
#include "records/task_progress.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Handles the crashes in a report: the tasks that may have caused one become
/// suspects, and the job of a task under which enough workers have crashed
/// fails. Crashes whose evidence is stored are acknowledged. Call it before the
/// report's description of the worker replaces the known one.
void HandleCrashes(const MemberName& name, const WorkerReport& report,
                   SchedulerTables& tables, SchedulerTick& tick);

/// Clears the tasks on the worker that have run for longer than the runs under
/// which workers crashed. Call it after the runs in the report were handled.
void ClearSurvivors(const MemberName& name, const WorkerReport& report,
                    SchedulerTables& tables, SchedulerTick& tick);

/// Clears the task of a run whose worker lists its end.
void ClearEndedSuspect(const RunEnd& end, SchedulerTables& tables,
                       SchedulerTick& tick);

/// Returns the rows of the job's suspects.
std::vector<std::pair<TaskKey, SuspectRow>> SuspectsOf(
    std::uint64_t job, const SchedulerTables& tables);

/// Records that the store contains the evidence in these rows.
void MarkSuspectsStored(
    const std::vector<std::pair<TaskKey, SuspectRow>>& stored,
    SchedulerTables& tables);

/// Adds the suspect that a stored record describes, if it describes one.
void RestoreSuspect(const TaskKey& key, const TaskProgress& known,
                    SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TRACK_CRASHES_H_
