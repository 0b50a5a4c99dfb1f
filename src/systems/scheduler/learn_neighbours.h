#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_

#include "core/job_step.h"
#include "messages/interference_sample.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Answers noisy neighbours: learns from each look at a worker how much each
/// image that fills raises the tail of each image that serves, and takes those
/// away that stand still for the sake of their neighbours.
void LearnNeighbours(const MemberName& name, const InterferenceSample& sample,
                     SchedulerTables& tables, SchedulerTick& tick);

/// How a task that fills would fit beside what serves on a worker.
struct NeighbourOutlook {
  /// The worst tail that is expected, in percent of its target.
  double tail_ = 0.0;
  /// What the task adds to the worst of the tails.
  double press_ = 0.0;
  /// Whether nothing is known of the task beside one of them.
  bool unknown_ = false;
};

NeighbourOutlook ExpectNeighbours(const MemberName& name, const JobStep& step,
                                  const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LEARN_NEIGHBOURS_H_
