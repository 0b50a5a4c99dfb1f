#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_

#include "core/job_step.h"
#include "messages/interference_sample.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Reduces interference between tasks on one worker. Learns from each sample
/// how much each best-effort image raises the tail latency of each service
/// image. Evicts best-effort tasks that interfere strongly with a service whose
/// tail latency is above its target, since they would only be throttled there.
void UpdateInterference(const MemberName& name,
                        const InterferenceSample& sample,
                        SchedulerTables& tables, SchedulerTick& tick);

/// Predicted effect of a best-effort task on the services of a worker.
struct InterferenceForecast {
  /// The highest predicted tail latency, in percent of its target.
  double tail_percent_ = 0.0;
  /// The largest increase of one service's tail latency by the task, in percent
  /// of the service's target.
  double added_percent_ = 0.0;
  /// True if the task's image has not been measured beside one of the services.
  bool unmeasured_ = false;
};

/// Predicts the tail latencies of the services on a worker if a task of the
/// step is added.
InterferenceForecast PredictInterference(const MemberName& name,
                                         const JobStep& step,
                                         const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ESTIMATE_INTERFERENCE_H_
