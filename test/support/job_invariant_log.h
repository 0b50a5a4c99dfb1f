#ifndef QUETZALLINE_TEST_SUPPORT_JOB_INVARIANT_LOG_H_
#define QUETZALLINE_TEST_SUPPORT_JOB_INVARIANT_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/job_definition.h"
#include "core/run_end.h"
#include "core/time.h"

namespace quetzalline {

/// Failed runs of a task after which it must not be started again, in simulated
/// cells.
inline constexpr std::int32_t kMaxAttempts = 3;
/// Workers that a task has crashed after which its starts are counted, and the
/// number of starts that are allowed from then on.
inline constexpr std::int32_t kCrashesBeforeLimit = 3;
inline constexpr std::int32_t kMaxStartsAfterCrashes = 2;
/// Workers that must have crashed under a task that crashes workers before its
/// job may be reported as failed.
inline constexpr std::int32_t kMinCrashesToGiveUp = 2;

/// Records what callers and workers observe of jobs, and every guarantee that
/// the observations violate: a task starts only for a submitted job, in the
/// order of the steps, on one worker at a time, and not again after its
/// completion, or as many failures as it has attempts, are acknowledged, nor
/// more than twice after it has crashed three workers; a completed job has all
/// its tasks done; a job fails only through the failures of a task, or through
/// the crashes of workers by a task that causes them; a refused or cancelled
/// job does not run.
class JobInvariantLog {
 public:
  void Submitted(std::uint64_t job, const JobDefinition& definition) {
    submitted_[job] = definition;
  }
  /// Record the reply to a submission: accepted, refused (the job never runs),
  /// or unknown whether it was accepted.
  void Accepted(std::uint64_t job) { accepted_.insert(job); }
  void Refused(std::uint64_t job) { refused_.insert(job); }
  void OutcomeUnknown(std::uint64_t job) { outcome_unknown_.insert(job); }
  void Cancelled(std::uint64_t job, Instant now) { cancelled_[job] = now; }
  void Completed(std::uint64_t job);
  /// Records that the job was reported as failed.
  void Failed(std::uint64_t job);
  /// Marks a task whose runs crash workers.
  void CrashesWorkers(const TaskKey& task) { crashing_tasks_.insert(task); }

  /// Records a start. A late one, which the worker executed after its call had
  /// timed out, may follow a cancellation.
  void Started(const RunKey& run, const std::string& worker, bool late,
               Instant now);
  void Ended(const RunKey& run, const std::string& worker, RunOutcome outcome,
             Instant now);
  /// Records that the end was acknowledged to the worker. lapsed_since
  /// is true if the worker's lease expired in between.
  void CompletionAcknowledged(const RunEnd& end, bool lapsed_since);
  /// Records that the run's worker crashed.
  void WorkerCrashed(const RunKey& run) { ++crashes_[run.task()]; }
  /// Records that the run is about to crash its worker.
  void CrashCaused(const RunKey& run) { ++crashes_caused_[run.task()]; }
  /// Records that the tasks on the worker exceed its capacity.
  void CapacityExceeded(const std::string& worker, Instant now);

  /// Checks that no refused job was started. Call it when no call is pending,
  /// since a later reply may still accept the job.
  void CheckRefused();

  const std::vector<std::string>& violations() const { return violations_; }
  bool IsDone(const TaskKey& task) const { return done_.count(task) > 0; }
  /// Returns true if a cancellation of the job was acknowledged.
  bool IsCancelled(std::uint64_t job) const {
    return cancelled_.count(job) > 0;
  }
  /// Returns true if a task of the job has failed as often as it may.
  bool HasExhaustedTask(std::uint64_t job) const;
  /// Returns true if a task of the job crashes workers and so many have crashed
  /// under it that it may be given up.
  bool MayBeGivenUp(std::uint64_t job) const;
  /// Returns the number of workers that the task has crashed.
  std::int32_t CrashesCausedBy(const TaskKey& task) const;
  std::int64_t starts() const { return starts_; }
  std::int64_t StartsOf(std::uint64_t job) const;

 private:
  void Fail(const std::string& description) {
    violations_.push_back(description);
  }
  void CheckAttempts(const RunKey& run);
  void CheckCrashes(const RunKey& run, const std::string& text);
  void CheckStepOrder(const TaskKey& task, const JobDefinition& definition,
                      const std::string& text);

  std::map<std::uint64_t, JobDefinition> submitted_;
  std::set<std::uint64_t> accepted_;
  std::set<std::uint64_t> refused_;
  std::set<std::uint64_t> outcome_unknown_;
  std::map<std::uint64_t, Instant> cancelled_;
  std::map<TaskKey, std::set<std::string>> running_;
  std::set<TaskKey> done_;
  std::set<TaskKey> acked_;
  /// The last run of each task that was started after an unacknowledged
  /// completion.
  std::map<TaskKey, std::int64_t> started_after_done_;
  /// Failed runs of each task, and those whose ends were acknowledged.
  std::map<TaskKey, std::set<std::int64_t>> failed_runs_;
  std::map<TaskKey, std::set<std::int64_t>> acked_failures_;
  /// The runs that had failed when the task was started beyond its attempts.
  std::map<TaskKey, std::set<std::int64_t>> failed_before_start_;
  std::set<TaskKey> crashing_tasks_;
  /// Workers that crashed while the task ran on them, and those that it
  /// crashed.
  std::map<TaskKey, std::int32_t> crashes_;
  std::map<TaskKey, std::int32_t> crashes_caused_;
  /// Starts of each task after it had crashed kCrashesBeforeLimit workers.
  std::map<TaskKey, std::int32_t> starts_after_crashes_;
  std::map<std::uint64_t, std::int64_t> job_starts_;
  std::int64_t starts_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_JOB_INVARIANT_LOG_H_
