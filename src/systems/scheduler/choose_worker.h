#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_

#include <boost/describe/enum.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/job_step.h"
#include "core/step_key.h"
#include "systems/scheduler/placement_pass.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Why a worker gets no new tasks of any service.
enum class ClosedCause : std::uint8_t {
  kOpen,
  /// It has not listed all its runs in the session.
  kUnlisted,
  kDraining,
  /// Its runner reports that it does not answer.
  kUnresponsive,
  /// It runs, or may run, something that is not assigned to it.
  kOrphanedRuns,
  /// The store may record it as confirmed lost.
  kRecordedLost,
  /// The next holder may find a record by which nothing starts there.
  kHandedOver,
  /// It has not been granted a lease in the session yet.
  kUnleased,
  /// No recent message of its runner, or no recent lease grant.
  kOutOfTouch
};
BOOST_DESCRIBE_ENUM(ClosedCause, kOpen, kUnlisted, kDraining, kUnresponsive,
                    kOrphanedRuns, kRecordedLost, kHandedOver, kUnleased,
                    kOutOfTouch)

/// Returns why the worker gets no new tasks at `now`, or kOpen if it may.
ClosedCause FindClosedCause(const MemberName& name, const WorkerRow& worker,
                            const SchedulerTables& tables, Instant now);

/// Returns true if the CPU of such a worker counts as capacity: it is open, or
/// in touch but closed for what runs there or is recorded of it.
bool IsSound(ClosedCause cause);

/// Returns the workers that may receive new tasks of any service at `now`.
std::vector<MemberName> SchedulableWorkers(const SchedulerTables& tables,
                                           Instant now);

/// Returns true if the job has been idle so long that its next task goes before
/// those of other jobs and may overcommit the CPU of best-effort tasks.
bool IsStarved(std::uint64_t job, const SchedulerTables& tables);

/// Returns true if the worker belongs to the service and has the label that the
/// step requires.
bool IsSuitable(const JobStep& step, const ServiceName& service,
                const WorkerDescription& facts);

/// Returns true if the worker may run one more task of the step beside those
/// that run there and `added` others, by the step's limit per worker.
bool AllowsTask(const StepKey& key, const JobStep& step, const MemberName& name,
                std::int32_t added, const SchedulerTables& tables);

/// Returns true if a worker with this use has the capacity for one more task of
/// the step.
bool Fits(const JobStep& step, const WorkerDescription& facts,
          const WorkerUse& use, const PlacementPolicy& policy);

/// A worker that can run a task of a step.
struct WorkerCandidate {
  /// Its position in the pass.
  std::size_t worker_ = 0;
  /// The candidate with the lowest cost is chosen.
  double cost_ = 0.0;
  /// True if the task would raise the tail latency of services on the worker
  /// too far. Such a candidate is used only for overdue tasks.
  bool interferes_ = false;
  /// True if the worker is in quarantine or back-off and the task can wait for
  /// its end. Such a candidate is used only for overdue tasks, if there is no
  /// other.
  bool quarantined_ = false;
};

/// Counts the schedulable workers that cannot take a task of a step, by cause.
struct WaitCauses {
  /// Other service, missing label, or limit of the step's tasks per worker.
  std::int32_t unsuitable_ = 0;
  /// Not enough free CPU, memory or GPU.
  std::int32_t no_capacity_ = 0;
  /// Tail latency of a service would rise above its limit.
  std::int32_t interference_ = 0;
  /// In quarantine after failures or in back-off after a refusal.
  std::int32_t quarantined_ = 0;
};

/// Returns the worker as a candidate for a task of the step, or nothing if the
/// task cannot start there; `causes` then counts the cause. A candidate that
/// would interfere or is quarantined is returned and counted as well. Urgent
/// and best-effort tasks prefer workers with free capacity; services are packed
/// on workers that run services already.
std::optional<WorkerCandidate> EvaluateWorker(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    std::size_t position, const SchedulerTables& tables, PlacementPass& pass,
    WaitCauses& causes);

/// Returns all workers that can run a task of the step. The list is reused for
/// all tasks of the step: after a placement only the chosen worker has to be
/// evaluated again.
std::vector<WorkerCandidate> FindCandidates(
    const StepKey& key, const JobStep& step, const ServiceName& service,
    const SchedulerTables& tables, PlacementPass& pass, WaitCauses& causes);

/// Returns the index of the candidate with the lowest cost, or nothing if there
/// is none. Candidates that would interfere or are quarantined are considered
/// only if `overdue`.
/// The worker `failed_on`, on which the task has failed before, is used only if
/// there is no other.
std::optional<std::size_t> BestCandidate(
    const std::vector<WorkerCandidate>& candidates, bool overdue,
    const MemberName& failed_on, const PlacementPass& pass);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_CHOOSE_WORKER_H_
