#include "systems/scheduler/explain_idle_jobs.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/track_idle_jobs.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Minimum time between two log lines on idle jobs.
constexpr Duration kIdleLogInterval = std::chrono::milliseconds(100);

// Counts the workers of the step's service that get no new work, by cause.
std::map<ClosedCause, std::int32_t> CountClosedWorkers(
    const ServiceName& service, const SchedulerTables& tables, Instant now) {
  std::map<ClosedCause, std::int32_t> closed;
  for (const auto& [name, worker] : tables.workers_) {
    if (worker.facts() && worker.facts()->service() != service) continue;
    ++closed[FindClosedCause(name, worker, tables, now)];
  }
  return closed;
}

// Returns the time at which the first of the step's ready tasks became ready.
Instant ReadySince(const StepKey& key, const SchedulerTables& tables) {
  Instant earliest = Instant::max();
  for (const std::int32_t index : tables.tasks_.ready().at(key)) {
    const TaskKey task = TaskKey::Builder()
                             .job(key.job())
                             .occurrence(key.occurrence())
                             .step(key.step())
                             .index(index)
                             .Build();
    earliest = std::min(earliest, tables.tasks_.Find(task)->ready_since());
  }
  return earliest;
}

// What the other jobs of a service run, or may run.
struct OtherJobs {
  std::int32_t running_ = 0;
  std::int32_t tasks_ = 0;
  /// Most tasks of one job.
  std::int32_t most_of_one_ = 0;
};

OtherJobs CountOtherJobs(std::uint64_t job, const ServiceName& service,
                         const SchedulerTables& tables) {
  OtherJobs others;
  for (const auto& [other, row] : tables.jobs_) {
    if (other == job || IsFinalState(row.state())) continue;
    if (row.queue()->service() != service) continue;
    const std::int32_t tasks = tables.tasks_.ActiveIn(other);
    if (tasks > 0) ++others.running_;
    others.tasks_ += tasks;
    others.most_of_one_ = std::max(others.most_of_one_, tasks);
  }
  return others;
}

// Returns the number of the workers without room for the step that have room
// by the platform's account, which counts no CPU of best-effort tasks.
std::int32_t CountFullOfBestEffort(const StepKey& key, const JobStep& step,
                                   const ServiceName& service,
                                   const SchedulerTables& tables,
                                   PlacementPass& pass) {
  if (!step.fills()) return 0;
  const JobStep reserving = JobStep::Builder(step).fills(false).Build();
  std::int32_t workers = 0;
  for (std::size_t i = 0; i < pass.workers_.size(); ++i) {
    WaitCauses causes;
    EvaluateWorker(key, step, service, i, tables, pass, causes);
    if (causes.no_capacity_ == 0) continue;
    const PassWorker& worker = pass.workers_[i];
    if (Fits(reserving, *worker.row_->facts(), worker.use_,
             tables.policy_.placement())) {
      ++workers;
    }
  }
  return workers;
}

// Appends the numbers of the service's workers by the cause for which they get
// no new work.
void AddClosedWorkers(const ServiceName& service, const SchedulerTables& tables,
                      Instant now, std::vector<LogField>& fields) {
  for (const auto& [cause, workers] :
       CountClosedWorkers(service, tables, now)) {
    std::string name = ToString(cause);
    std::replace(name.begin(), name.end(), '-', '_');
    fields.push_back(Field(name, workers));
  }
}

}  // namespace

void LogIdleJob(const StepKey& key, const WaitCauses& causes,
                PlacementPass& pass, SchedulerTables& tables,
                SchedulerTick& tick) {
  const Instant now = tick.now();
  const IdleJob* idle = tables.idle_jobs_.Find(key.job());
  if (idle == nullptr || !IsIdle(*idle) || now < idle->next_line()) return;
  if (now < tables.next_idle_log_) return;
  tables.next_idle_log_ = now + kIdleLogInterval;
  const JobRow& job = *tables.jobs_.Find(key.job());
  const ServiceName& service = job.queue()->service();
  const JobStep& step =
      job.record()->definition()->steps()[static_cast<std::size_t>(key.step())];
  const OtherJobs others = CountOtherJobs(key.job(), service, tables);
  std::vector<LogField> fields = {
      Field("step", key.step()),
      FieldMs("idle_ms", now - idle->since()),
      FieldMs("ready_ms", now - ReadySince(key, tables)),
      Field("starved", idle->starved() ? 1 : 0),
      Field("jobs_idle", CountIdleJobs(tables)),
      Field("other_jobs_running", others.running_),
      Field("other_jobs_tasks", others.tasks_),
      Field("most_of_one_job", others.most_of_one_),
      Field("no_room", causes.no_capacity_),
      Field("full_of_best_effort",
            CountFullOfBestEffort(key, step, service, tables, pass)),
      Field("neighbours", causes.interference_),
      Field("resting", causes.quarantined_),
      Field("unsuited", causes.unsuitable_)};
  AddClosedWorkers(service, tables, now, fields);
  LogLine(tick, "job-idle", key.job(), std::move(fields));
  tables.idle_jobs_.Put(
      key.job(),
      IdleJob::Builder(*idle).next_line(now + (now - idle->since())).Build());
}

}  // namespace quetzalline
