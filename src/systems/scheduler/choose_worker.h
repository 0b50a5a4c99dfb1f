#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_

#include <cstddef>
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

/// A worker that may take a task of a step.
struct WorkerCandidate {
  MemberName worker_;
  /// Less is better.
  double cost_ = 0.0;
  /// Whether the task would press on what serves there, so that it may join
  /// only once it is overdue.
  bool disturbs_ = false;
};

/// Why open workers cannot take a task of a step, counted by worker.
struct WaitCauses {
  std::int32_t unsuited_ = 0;
  std::int32_t no_room_ = 0;
  std::int32_t neighbours_ = 0;
  std::int32_t resting_ = 0;
};

/// A task of this step on one open worker; empty where it cannot start there.
/// Tasks that serve or are urgent go where least is used; tasks that fill go
/// where most is left over.
std::optional<WorkerCandidate> ConsiderWorker(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    const MemberName& name, const SchedulerTables& tables, WaitCauses& causes);

/// Every worker that may take a task of this step. One list serves all tasks of
/// the step: only the worker that took one has to be considered again.
std::vector<WorkerCandidate> FindCandidates(const StepKey& key,
                                            const JobStep& step,
                                            const ServiceName& service,
                                            const std::vector<MemberName>& open,
                                            const SchedulerTables& tables,
                                            WaitCauses& causes);

/// The position of the best candidate; empty where there is none. A worker on
/// which the task has failed is taken only if there is no other.
std::optional<std::size_t> BestCandidate(
    const std::vector<WorkerCandidate>& candidates, bool overdue,
    const MemberName& failed_on);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
