#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/job_step.h"
#include "core/step_key.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Returns the workers that may receive new tasks of any service at `now`.
std::vector<MemberName> OpenWorkers(const SchedulerTables& tables, Instant now);

/// Returns true if less than half of the open workers' CPU is reserved.
bool IsHalfFree(const std::vector<MemberName>& open,
                const SchedulerTables& tables);

/// A worker that can run a task of a step.
struct WorkerCandidate {
  MemberName worker_;
  /// The candidate with the lowest cost is chosen.
  double cost_ = 0.0;
  /// True if the task would raise the tail latency of services on the worker
  /// too far. Such a candidate is used only for overdue tasks.
  bool disturbs_ = false;
};

/// Counts the open workers that cannot take a task of a step, by cause.
struct WaitCauses {
  std::int32_t unsuited_ = 0;
  std::int32_t no_room_ = 0;
  std::int32_t neighbours_ = 0;
  std::int32_t resting_ = 0;
};

/// Returns the placement of a task of the step on one open worker, or nothing
/// if it cannot start there; `causes` then counts the cause. A candidate that
/// would interfere is returned and counted as well. Services and urgent tasks
/// prefer the least used worker; best-effort tasks prefer the worker with the
/// most free capacity.
std::optional<WorkerCandidate> ConsiderWorker(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    const MemberName& name, const SchedulerTables& tables, WaitCauses& causes);

/// Returns all workers that can run a task of the step. The list is reused for
/// all tasks of the step: after a placement only the chosen worker has to be
/// evaluated again.
std::vector<WorkerCandidate> FindCandidates(const StepKey& key,
                                            const JobStep& step,
                                            const ServiceName& service,
                                            const std::vector<MemberName>& open,
                                            const SchedulerTables& tables,
                                            WaitCauses& causes);

/// Returns the index of the candidate with the lowest cost, or nothing if there
/// is none. Candidates that would interfere are considered only if `overdue`.
/// The worker `failed_on`, on which the task has failed before, is used only if
/// there is no other.
std::optional<std::size_t> BestCandidate(
    const std::vector<WorkerCandidate>& candidates, bool overdue,
    const MemberName& failed_on);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
