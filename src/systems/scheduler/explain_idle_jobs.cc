#include "systems/scheduler/explain_idle_jobs.h"

#include <algorithm>
#include <boost/mp11/algorithm.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/find_idle_reason.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/track_idle_jobs.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Minimum time between two log lines on idle jobs, and between two searches for
// them.
constexpr Duration kIdleLogInterval = std::chrono::milliseconds(100);
// Minimum time between two searches that consider all jobs, also those of which
// no index says that a task waits. A walk over them takes longer than the rest.
constexpr Duration kFullSearchInterval = std::chrono::seconds(1);

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

Duration LengthOf(const IdleSpells& spells) {
  return spells.seen_at() - spells.since();
}

IdleSpells EndSpell(const IdleSpells& spells) {
  if (!spells.idle()) return spells;
  return IdleSpells::Builder(spells)
      .idle(false)
      .sent(false)
      .ended(spells.ended() + LengthOf(spells))
      .Build();
}

// Returns true if the job was idle at the last look and has run nothing since.
// What was sent may have been refused.
bool Continues(const IdleSpells& spells, const JobRow& row,
               const IdleJob* waiting) {
  if (!spells.idle()) return false;
  if (!spells.sent()) return true;
  return spells.tasks_left() == row.tasks_left() && waiting != nullptr &&
         waiting->since() <= spells.seen_at();
}

// Returns the spells of a job that is idle now, with the present one.
IdleSpells ObserveIdleTime(std::uint64_t job, const IdleReason& reason,
                           const SchedulerTables& tables, Instant now) {
  const IdleSpells* known = tables.idle_spells_.Find(job);
  const JobRow& row = *tables.jobs_.Find(job);
  const IdleJob* waiting = tables.idle_jobs_.Find(job);
  IdleSpells spells = known == nullptr ? IdleSpells() : *known;
  if (!Continues(spells, row, waiting)) {
    // The placement pass knows since when a ready task waits.
    const bool waits = waiting != nullptr && IsIdle(*waiting) &&
                       waiting->since() > spells.seen_at();
    const Instant since = waits ? waiting->since() : now;
    spells = IdleSpells::Builder(EndSpell(spells))
                 .count(spells.count() + 1)
                 .idle(true)
                 .since(since)
                 .reason(reason)
                 .reason_since(since)
                 .next_line(since + kFirstIdleLine)
                 .Build();
  }
  const bool same = spells.reason().index() == reason.index();
  return IdleSpells::Builder(spells)
      .sent(false)
      .seen_at(now)
      .tasks_left(row.tasks_left())
      .reason(reason)
      .reason_since(same ? spells.reason_since() : now)
      .Build();
}

void ObserveJob(std::uint64_t job, const JobRow& row, const IdleSearch& search,
                SchedulerTables& tables) {
  if (const auto reason = FindIdleReason(job, row, search, tables)) {
    tables.idle_spells_.Put(job,
                            ObserveIdleTime(job, *reason, tables, search.now_));
    return;
  }
  const IdleSpells* known = tables.idle_spells_.Find(job);
  if (known == nullptr || !known->idle()) return;
  const IdleJob* waiting = tables.idle_jobs_.Find(job);
  const bool sent = waiting != nullptr && !IsIdle(*waiting);
  tables.idle_spells_.Put(
      job,
      sent ? IdleSpells::Builder(*known).sent(true).Build() : EndSpell(*known));
}

// Adds the jobs of keys that are ordered by job.
template <typename Keys>
void AddJobsOf(const Keys& keys, auto&& job_of, std::set<std::uint64_t>& jobs) {
  for (const auto& key : keys) jobs.insert(jobs.end(), job_of(key));
}

// Returns the jobs that may be idle: those that were, those with a task that
// waits by one of the indexes and, if it is time for that, all others.
std::set<std::uint64_t> FindCandidateJobs(const IdleSearch& search,
                                          SchedulerTables& tables) {
  std::set<std::uint64_t> jobs;
  const auto first = [](const auto& entry) { return entry.first; };
  const auto job_of = [](const auto& entry) { return entry.first.job(); };
  AddJobsOf(tables.idle_spells_, first, jobs);
  AddJobsOf(search.unheard_, first, jobs);
  AddJobsOf(tables.tasks_.ready(), job_of, jobs);
  AddJobsOf(tables.suspects_, job_of, jobs);
  AddJobsOf(
      tables.tasks_.unreconciled(),
      [](const TaskKey& task) { return task.job(); }, jobs);
  if (search.now_ >= tables.next_full_idle_check_) {
    tables.next_full_idle_check_ = search.now_ + kFullSearchInterval;
    AddJobsOf(tables.jobs_, first, jobs);
  }
  return jobs;
}

void EraseEndedJobs(SchedulerTables& tables) {
  std::vector<std::uint64_t> ended;
  for (const auto& [job, spells] : tables.idle_spells_) {
    const JobRow* row = tables.jobs_.Find(job);
    if (row == nullptr || IsFinalState(row->state())) ended.push_back(job);
  }
  for (const std::uint64_t job : ended) tables.idle_spells_.Erase(job);
}

// Returns true if the choice of a worker is what the job waits for.
bool IsUpToPlacement(const IdleReason& reason) {
  return std::visit(Overloaded{
                        [](const NoWorker&) { return true; },
                        [](const GangIncomplete&) { return true; },
                        [](const SuspectHeld&) { return false; },
                        [](const StateUnknown&) { return false; },
                        [](const WorkerUnheard&) { return false; },
                        [](const JobNotStored&) { return false; },
                        [](const HolderUnconfirmed&) { return false; },
                        [](const StepBlocked&) { return false; },
                    },
                    reason);
}

// Returns true if the placement pass logs the job, with the causes for which it
// passed the workers over. To the pass, tasks of unknown state are running.
bool IsLoggedByPlacement(std::uint64_t job, const IdleReason& reason,
                         const SchedulerTables& tables) {
  const IdleJob* waiting = tables.idle_jobs_.Find(job);
  return waiting != nullptr && IsIdle(*waiting) && IsUpToPlacement(reason);
}

std::string NameOf(const IdleReason& reason) {
  return std::visit([](const auto& value) { return std::string(value.kName); },
                    reason);
}

std::vector<LogField> StepFields(const StepKey& step) {
  return {Field("occurrence", step.occurrence()), Field("step", step.step())};
}

std::vector<LogField> TaskFields(const TaskKey& task) {
  return {Field("occurrence", task.occurrence()), Field("step", task.step()),
          Field("index", task.index())};
}

// Returns what a log line says of the reason beside its name.
std::vector<LogField> FieldsOf(const IdleReason& reason) {
  using Fields = std::vector<LogField>;
  return std::visit(
      Overloaded{
          [](const NoWorker& value) { return StepFields(value.step()); },
          [](const GangIncomplete& value) {
            Fields fields = StepFields(value.step());
            fields.push_back(Field("gang_ready", value.ready()));
            fields.push_back(Field("gang_missing", value.missing()));
            return fields;
          },
          [](const SuspectHeld& value) {
            Fields fields = TaskFields(value.task());
            fields.push_back(Field("hold", value.hold()));
            fields.push_back(Field("crashes", value.crashes()));
            return fields;
          },
          [](const StateUnknown& value) {
            Fields fields = TaskFields(value.task());
            fields.push_back(Field("tasks", value.tasks()));
            return fields;
          },
          [](const WorkerUnheard& value) {
            return Fields{Field("worker", value.worker().value()),
                          Field("tasks", value.tasks())};
          },
          [](const JobNotStored&) { return Fields(); },
          [](const HolderUnconfirmed&) { return Fields(); },
          [](const StepBlocked& value) { return StepFields(value.step()); },
      },
      reason);
}

// Returns the fields that all lines on idle jobs have.
std::vector<LogField> SpellFields(const IdleSpells& spells, Instant since,
                                  const SchedulerTables& tables, Instant now) {
  return {Field("reason", NameOf(spells.reason())),
          FieldMs("reason_ms", now - spells.reason_since()),
          FieldMs("idle_ms", now - since),
          Field("spells", spells.count()),
          FieldMs("idle_total_ms", spells.ended() + (now - spells.since())),
          Field("jobs_idle", CountIdleJobs(tables))};
}

void Append(std::vector<LogField> added, std::vector<LogField>& fields) {
  std::move(added.begin(), added.end(), std::back_inserter(fields));
}

// Returns the job whose line has been due longest, of those that the placement
// pass does not log, or nothing if none is due.
std::optional<std::uint64_t> FindHeldJob(const SchedulerTables& tables,
                                         Instant now) {
  std::optional<std::uint64_t> found;
  Instant due = now;
  for (const auto& [job, spells] : tables.idle_spells_) {
    if (!spells.idle() || spells.sent() || spells.next_line() > due) continue;
    if (IsLoggedByPlacement(job, spells.reason(), tables)) continue;
    if (found && spells.next_line() == due) continue;
    found = job;
    due = spells.next_line();
  }
  return found;
}

// Logs one such job. Its lines and those of the placement pass take turns if
// there are more than the rate allows.
void LogHeldJob(SchedulerTables& tables, SchedulerTick& tick) {
  const Instant now = tick.now();
  const std::optional<std::uint64_t> job = FindHeldJob(tables, now);
  tables.held_idle_line_due_ = job && now < tables.next_idle_log_;
  if (!job || tables.held_idle_line_due_) return;
  tables.next_idle_log_ = now + kIdleLogInterval;
  const IdleSpells spells = *tables.idle_spells_.Find(*job);
  std::vector<LogField> fields =
      SpellFields(spells, spells.since(), tables, now);
  Append(FieldsOf(spells.reason()), fields);
  LogLine(tick, "job-idle", *job, std::move(fields));
  tables.idle_spells_.Put(*job, IdleSpells::Builder(spells)
                                    .next_line(now + (now - spells.since()))
                                    .Build());
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
  if (now < tables.next_idle_log_ || tables.held_idle_line_due_) return;
  tables.next_idle_log_ = now + kIdleLogInterval;
  const JobRow& job = *tables.jobs_.Find(key.job());
  const ServiceName& service = job.queue()->service();
  const JobStep& step = StepOfJob(key, job);
  const OtherJobs others = CountOtherJobs(key.job(), service, tables);
  const IdleSpells spells =
      ObserveIdleTime(key.job(), ReasonOfReady(key, job, tables), tables, now);
  std::vector<LogField> fields =
      SpellFields(spells, idle->since(), tables, now);
  Append(FieldsOf(spells.reason()), fields);
  Append({FieldMs("ready_ms", now - ReadySince(key, tables)),
          Field("starved", idle->starved() ? 1 : 0),
          Field("other_jobs_running", others.running_),
          Field("other_jobs_tasks", others.tasks_),
          Field("most_of_one_job", others.most_of_one_),
          Field("no_room", causes.no_capacity_),
          Field("full_of_best_effort",
                CountFullOfBestEffort(key, step, service, tables, pass)),
          Field("neighbours", causes.interference_),
          Field("resting", causes.quarantined_),
          Field("unsuited", causes.unsuitable_)},
         fields);
  AddClosedWorkers(service, tables, now, fields);
  LogLine(tick, "job-idle", key.job(), std::move(fields));
  tables.idle_jobs_.Put(
      key.job(),
      IdleJob::Builder(*idle).next_line(now + (now - idle->since())).Build());
}

void ExplainIdleJobs(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables) || tick.now() < tables.next_idle_check_) return;
  tables.next_idle_check_ = tick.now() + kIdleLogInterval;
  const IdleSearch search{FindUnheardTasks(tables), MayAct(tables, tick.now()),
                          tick.now()};
  EraseEndedJobs(tables);
  for (const std::uint64_t job : FindCandidateJobs(search, tables)) {
    const JobRow* row = tables.jobs_.Find(job);
    if (row == nullptr || IsFinalState(row->state())) continue;
    ObserveJob(job, *row, search, tables);
  }
  LogHeldJob(tables, tick);
}

std::map<std::string, std::size_t> CountIdleReasons(
    const SchedulerTables& tables) {
  std::map<std::string, std::size_t> counts;
  boost::mp11::mp_for_each<IdleReason>(
      [&](const auto& reason) { counts[NameOf(reason)] = 0; });
  for (const auto& [job, spells] : tables.idle_spells_) {
    const bool long_idle = LengthOf(spells) >= kFirstIdleLine;
    if (spells.idle() && long_idle) ++counts[NameOf(spells.reason())];
  }
  return counts;
}

}  // namespace quetzalline
