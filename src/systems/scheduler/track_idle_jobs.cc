#include "systems/scheduler/track_idle_jobs.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "systems/cell/log_fields.h"

namespace quetzalline {
namespace {

// A job is logged once it has been idle for this long, and again whenever that
// time has doubled.
constexpr Duration kFirstIdleLine = std::chrono::seconds(1);
// Minimum time between two log lines on idle jobs.
constexpr Duration kIdleLogInterval = std::chrono::milliseconds(100);

// A job is starved once its idle spells add up to this time, beside unreserved
// CPU. The platform calls a job lost after 3 s.
constexpr Duration kLongestIdle = std::chrono::milliseconds(1500);

// A worker that refuses a task does so within this time.
constexpr Duration kMaxRefusalTime = std::chrono::seconds(2);

// Returns the number of tasks of each job on workers that give no sign of life.
std::map<std::uint64_t, std::int32_t> CountUnheardTasks(
    const SchedulerTables& tables) {
  std::map<std::uint64_t, std::int32_t> unheard;
  for (const auto& [name, worker] : tables.workers_) {
    if (worker.alive() && !worker.silent()) continue;
    for (const TaskKey& task : tables.tasks_.TasksOnWorker(name)) {
      ++unheard[task.job()];
    }
  }
  return unheard;
}

// Returns the time at which the first of the step's ready tasks became ready.
Instant ReadySince(const StepKey& key, const std::set<std::int32_t>& indexes,
                   const SchedulerTables& tables) {
  Instant earliest = Instant::max();
  for (const std::int32_t index : indexes) {
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

// Returns the time since which a job that was not idle before is idle. What a
// job that has begun ran until now has just ended.
Instant IdleSince(const JobRow& job, bool long_running, Instant ready_since,
                  Instant now) {
  return job.began() && !long_running ? now : ready_since;
}

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

// Adds the time of an idle spell that has ended to its job.
void AddIdleTime(std::uint64_t job, const IdleJob& spell,
                 SchedulerTables& tables, Instant now) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  const Duration idle = spell.tried_at().value_or(now) - spell.since();
  tables.jobs_.Put(
      job, JobRow::Builder(*row).idle_time(row->idle_time() + idle).Build());
}

// Replaces the idle jobs. A job that gets a single task at a time is starved
// again when it ends, so the spells that are over have to count.
void ReplaceIdleJobs(Table<std::uint64_t, IdleJob> idle,
                     SchedulerTables& tables, Instant now) {
  for (const auto& [job, spell] : tables.idle_jobs_) {
    const IdleJob* next = idle.Find(job);
    if (next != nullptr && next->since() == spell.since()) continue;
    AddIdleTime(job, spell, tables, now);
  }
  tables.idle_jobs_ = std::move(idle);
}

// Marks the idle jobs that are starved. Long-running tasks are placed before
// best-effort ones anyway.
void MarkStarvedJobs(const PlacementPass& pass, SchedulerTables& tables,
                     Instant now) {
  for (const auto& [job, idle] : tables.idle_jobs_.Sorted()) {
    const JobRow& row = *tables.jobs_.Find(job);
    const Duration idle_time = row.idle_time() + (now - idle.since());
    const bool starved = IsIdle(idle) &&
                         IsHalfFree(row.queue()->service(), pass) &&
                         idle_time >= kLongestIdle;
    if (starved == idle.starved()) continue;
    tables.idle_jobs_.Put(job, IdleJob::Builder(idle).starved(starved).Build());
  }
}

}  // namespace

void UpdateIdleJobs(const PlacementPass& pass, SchedulerTables& tables,
                    Instant now) {
  const auto unheard = CountUnheardTasks(tables);
  Table<std::uint64_t, IdleJob> idle;
  for (const auto& [key, indexes] : tables.tasks_.ready()) {
    const JobRow* job = tables.jobs_.Find(key.job());
    if (job == nullptr) continue;
    const bool long_running =
        job->record()
            ->definition()
            ->steps()[static_cast<std::size_t>(key.step())]
            .long_running();
    const auto lost = unheard.find(key.job());
    const std::int32_t running = tables.tasks_.ActiveIn(key.job()) -
                                 (lost == unheard.end() ? 0 : lost->second);
    if (idle.Find(key.job()) != nullptr) continue;
    const IdleJob* known = tables.idle_jobs_.Find(key.job());
    if (known != nullptr && !IsIdle(*known)) {
      if (running > 0 && now - *known->tried_at() <= kMaxRefusalTime) {
        idle.Put(key.job(), *known);
        continue;
      }
      // The task that was sent has run.
      known = nullptr;
    }
    if (running > 0 && !long_running) continue;
    if (known != nullptr) {
      idle.Put(key.job(), *known);
      continue;
    }
    const Instant since =
        IdleSince(*job, long_running, ReadySince(key, indexes, tables), now);
    idle.Put(key.job(), IdleJob::Builder()
                            .since(since)
                            .next_line(since + kFirstIdleLine)
                            .Build());
  }
  ReplaceIdleJobs(std::move(idle), tables, now);
  MarkStarvedJobs(pass, tables, now);
}

void EndIdleSpells(SchedulerTables& tables, Instant now) {
  ReplaceIdleJobs({}, tables, now);
}

void MarkTried(std::uint64_t job, SchedulerTables& tables, Instant now) {
  const IdleJob* idle = tables.idle_jobs_.Find(job);
  if (idle == nullptr || !IsIdle(*idle)) return;
  tables.idle_jobs_.Put(
      job, IdleJob::Builder(*idle).starved(false).tried_at(now).Build());
}

void MarkRefused(std::uint64_t job, SchedulerTables& tables) {
  const IdleJob* idle = tables.idle_jobs_.Find(job);
  if (idle == nullptr) return;
  tables.idle_jobs_.Put(job,
                        IdleJob::Builder(*idle).tried_at(std::nullopt).Build());
}

bool IsIdle(const IdleJob& job) { return !job.tried_at().has_value(); }

std::size_t CountIdleJobs(const SchedulerTables& tables) {
  std::size_t idle = 0;
  for (const auto& [job, row] : tables.idle_jobs_) idle += IsIdle(row) ? 1 : 0;
  return idle;
}

void LogIdleJob(const StepKey& key, const WaitCauses& causes,
                SchedulerTables& tables, SchedulerTick& tick) {
  const Instant now = tick.now();
  const IdleJob* idle = tables.idle_jobs_.Find(key.job());
  if (idle == nullptr || !IsIdle(*idle) || now < idle->next_line()) return;
  if (now < tables.next_idle_log_) return;
  tables.next_idle_log_ = now + kIdleLogInterval;
  const JobRow& job = *tables.jobs_.Find(key.job());
  const auto closed = CountClosedWorkers(job.queue()->service(), tables, now);
  std::vector<LogField> fields = {Field("step", key.step()),
                                  FieldMs("idle_ms", now - idle->since()),
                                  Field("jobs_idle", CountIdleJobs(tables)),
                                  Field("no_room", causes.no_capacity_),
                                  Field("neighbours", causes.interference_),
                                  Field("resting", causes.quarantined_),
                                  Field("unsuited", causes.unsuitable_)};
  for (const auto& [cause, workers] : closed) {
    std::string name = ToString(cause);
    std::replace(name.begin(), name.end(), '-', '_');
    fields.push_back(Field(name, workers));
  }
  LogLine(tick, "job-idle", key.job(), std::move(fields));
  tables.idle_jobs_.Put(
      key.job(),
      IdleJob::Builder(*idle).next_line(now + (now - idle->since())).Build());
}

Duration LongestIdleTime(const SchedulerTables& tables, Instant now) {
  Duration longest{};
  for (const auto& [job, idle] : tables.idle_jobs_) {
    if (IsIdle(idle)) longest = std::max(longest, now - idle.since());
  }
  return longest;
}

}  // namespace quetzalline
