#include "support/job_invariant_log.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"

namespace quetzalline {
namespace {

// A worker may start tasks of a job for this long after its cancellation.
constexpr Duration kMaxStartAfterCancel = std::chrono::milliseconds(3000);

std::string RunText(const RunKey& run) {
  const TaskKey& task = run.task();
  return FormatJobId(task.job()) + "." + std::to_string(task.step()) + "." +
         std::to_string(task.index()) + " run " + std::to_string(run.run());
}

}  // namespace

void JobInvariantLog::CheckStepOrder(const TaskKey& task,
                                     const JobDefinition& definition,
                                     const std::string& text) {
  const JobStep& step =
      definition.steps()[static_cast<std::size_t>(task.step())];
  for (const std::int32_t earlier_index : step.after()) {
    const JobStep& earlier =
        definition.steps()[static_cast<std::size_t>(earlier_index)];
    for (std::int32_t index = 0; index < earlier.count(); ++index) {
      const TaskKey key =
          TaskKey::Builder(task).step(earlier_index).index(index).Build();
      if (done_.count(key) == 0) Fail("started out of step order: " + text);
    }
  }
}

void JobInvariantLog::Started(const RunKey& run, const std::string& worker,
                              bool late, Instant now) {
  const std::string text = RunText(run) + " on " + worker;
  const std::uint64_t job = run.task().job();
  ++starts_;
  ++job_starts_[job];
  const auto known = submitted_.find(job);
  if (known == submitted_.end()) return Fail("job was not submitted: " + text);
  // A task whose completion was lost with its worker may run again. One whose
  // completion was acknowledged, or is acknowledged later, may not.
  if (acked_.count(run.task()) > 0) Fail("started after it was done: " + text);
  if (done_.count(run.task()) > 0) {
    started_after_done_[run.task()] = run.run();
  }
  const auto cancelled = cancelled_.find(job);
  if (!late && cancelled != cancelled_.end() &&
      now > cancelled->second + kMaxStartAfterCancel) {
    Fail("started after the job was cancelled: " + text);
  }
  CheckStepOrder(run.task(), known->second, text);
  const auto step = static_cast<std::size_t>(run.task().step());
  const auto& failed = failed_runs_[run.task()];
  if (!known->second.steps()[step].long_running() &&
      failed.size() >= static_cast<std::size_t>(kMaxAttempts)) {
    failed_before_start_[run.task()] = failed;
    CheckAttempts(run);
  }
  if (!late) CheckCrashes(run, text);
  std::set<std::string>& workers = running_[run.task()];
  workers.insert(worker);
  if (workers.size() > 1) Fail("runs on two workers at once: " + text);
}

void JobInvariantLog::Ended(const RunKey& run, const std::string& worker,
                            RunOutcome outcome, Instant /*now*/) {
  running_[run.task()].erase(worker);
  if (outcome == RunOutcome::kDone) done_.insert(run.task());
  if (outcome == RunOutcome::kFailed) {
    failed_runs_[run.task()].insert(run.run());
  }
}

// Failures whose ends were lost with their workers never count.
void JobInvariantLog::CheckAttempts(const RunKey& run) {
  const auto exceeded = failed_before_start_.find(run.task());
  if (exceeded == failed_before_start_.end()) return;
  const auto& acked = acked_failures_[run.task()];
  const auto counted = std::count_if(
      exceeded->second.begin(), exceeded->second.end(),
      [&](std::int64_t failed) { return acked.count(failed) > 0; });
  if (counted < kMaxAttempts) return;
  failed_before_start_.erase(exceeded);
  Fail("started after its last attempt: " + RunText(run));
}

void JobInvariantLog::CheckCrashes(const RunKey& run, const std::string& text) {
  const TaskKey& task = run.task();
  if (CrashesCausedBy(task) < kCrashesBeforeLimit) return;
  if (++starts_after_crashes_[task] > kMaxStartsAfterCrashes) {
    Fail("started after it had crashed " +
         std::to_string(CrashesCausedBy(task)) + " workers: " + text);
  }
}

void JobInvariantLog::CompletionAcknowledged(const RunEnd& end,
                                             bool lapsed_since) {
  if (lapsed_since) return;
  if (end.outcome() == RunOutcome::kFailed) {
    acked_failures_[end.run().task()].insert(end.run().run());
    CheckAttempts(end.run());
  }
  if (end.outcome() != RunOutcome::kDone) return;
  const TaskKey& task = end.run().task();
  acked_.insert(task);
  const auto restarted = started_after_done_.find(task);
  if (restarted != started_after_done_.end() &&
      restarted->second > end.run().run()) {
    Fail("started again before its end was acknowledged: " +
         RunText(end.run()));
  }
}

void JobInvariantLog::CheckRefused() {
  for (const auto& [job, starts] : job_starts_) {
    const bool only_refused = refused_.count(job) > 0 &&
                              accepted_.count(job) == 0 &&
                              outcome_unknown_.count(job) == 0;
    if (only_refused) Fail("refused job was started: " + FormatJobId(job));
  }
}

void JobInvariantLog::CapacityExceeded(const std::string& worker, Instant now) {
  Fail("capacity exceeded: " + worker + " at " +
       std::to_string(now.time_since_epoch().count()));
}

void JobInvariantLog::Completed(std::uint64_t job) {
  const auto known = submitted_.find(job);
  if (known == submitted_.end()) return Fail("completed job was not submitted");
  const auto& steps = known->second.steps();
  for (std::size_t step = 0; step < steps.size(); ++step) {
    for (std::int32_t index = 0; index < steps[step].count(); ++index) {
      const TaskKey key = TaskKey::Builder()
                              .job(job)
                              .step(static_cast<std::int32_t>(step))
                              .index(index)
                              .Build();
      if (done_.count(key) == 0) {
        Fail("reported as completed before all tasks were done: " +
             FormatJobId(job));
      }
    }
  }
}

bool JobInvariantLog::HasExhaustedTask(std::uint64_t job) const {
  return std::any_of(
      failed_runs_.begin(), failed_runs_.end(), [&](const auto& entry) {
        return entry.first.job() == job &&
               entry.second.size() >= static_cast<std::size_t>(kMaxAttempts);
      });
}

void JobInvariantLog::Failed(std::uint64_t job) {
  if (HasExhaustedTask(job) || MayBeGivenUp(job)) return;
  Fail("reported as failed without a cause: " + FormatJobId(job));
}

bool JobInvariantLog::MayBeGivenUp(std::uint64_t job) const {
  return std::any_of(crashing_tasks_.begin(), crashing_tasks_.end(),
                     [&](const TaskKey& task) {
                       const auto found = crashes_.find(task);
                       return task.job() == job && found != crashes_.end() &&
                              found->second >= kMinCrashesToGiveUp;
                     });
}

std::int32_t JobInvariantLog::CrashesCausedBy(const TaskKey& task) const {
  const auto found = crashes_caused_.find(task);
  return found == crashes_caused_.end() ? 0 : found->second;
}

std::int64_t JobInvariantLog::StartsOf(std::uint64_t job) const {
  const auto found = job_starts_.find(job);
  return found == job_starts_.end() ? 0 : found->second;
}

}  // namespace quetzalline
