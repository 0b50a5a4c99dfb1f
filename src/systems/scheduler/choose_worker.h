#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_

#include <optional>
#include <vector>

#include "core/job_step.h"
#include "core/step_key.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// The workers that take new work of any service at this time.
std::vector<MemberName> OpenWorkers(const SchedulerTables& tables, Instant now);

/// Whether less than half of what the open workers have is reserved.
bool IsHalfFree(const std::vector<MemberName>& open,
                const SchedulerTables& tables);

/// The worker on which a task of this step is best started; empty where none
/// has room. An overdue task joins tasks that serve whatever their tails.
/// A worker on which the task has failed is taken only if there is no other.
/// Tasks that serve or are urgent go where least is used; tasks that fill go
/// where most is left over.
std::optional<MemberName> ChooseWorker(const StepKey& key, const JobStep& step,
                                       const ServiceName& service, bool overdue,
                                       const MemberName& failed_on,
                                       const std::vector<MemberName>& open,
                                       const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
