#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_

#include "core/job_step.h"
#include "messages/worker_report.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Answers noisy neighbours: learns from each report how much the images that
/// fill beside tasks that serve raise their tails.
void LearnNeighbours(const MemberName& name, const WorkerReport& report,
                     Instant now, SchedulerTables& tables);

/// The tail that is expected on the worker with one more task of this step, in
/// percent of the target.
double ExpectedTail(const MemberName& name, const JobStep& step,
                    const SchedulerTables& tables);

/// What one more task of this step is expected to add to the tail.
double ExpectedPress(const JobStep& step, const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_
