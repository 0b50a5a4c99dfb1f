#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_FIND_IDLE_REASON_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_FIND_IDLE_REASON_H_

#include <cstdint>
#include <map>
#include <optional>

#include "tables/idle_reason.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// A job's tasks on workers that give no sign of life, by job.
using UnheardTasks = std::map<std::uint64_t, WorkerUnheard>;

/// What one search for idle jobs finds out once for all of them.
struct IdleSearch {
  UnheardTasks unheard_;
  /// False while the holder starts nothing.
  bool may_act_ = false;
  Instant now_;
};

/// Returns the definition of a step of the job.
const JobStep& StepOfJob(const StepKey& key, const JobRow& job);

/// Returns the tasks on workers that give no sign of life.
UnheardTasks FindUnheardTasks(const SchedulerTables& tables);

/// Returns what keeps the ready tasks of a step of the job from being placed.
IdleReason ReasonOfReady(const StepKey& key, const JobRow& job,
                         const SchedulerTables& tables);

/// Returns why the job has nothing running, or nothing if it has, or if it
/// waits as its definition says. Each look at the tables is one at an index.
std::optional<IdleReason> FindIdleReason(std::uint64_t job, const JobRow& row,
                                         const IdleSearch& search,
                                         const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_FIND_IDLE_REASON_H_
