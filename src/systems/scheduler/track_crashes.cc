#include "systems/scheduler/track_crashes.h"

#include <algorithm>
#include <set>
#include <string>

#include "systems/cell/log_fields.h"
#include "systems/scheduler/correlate_crashes.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Runs that were younger than this at the last answer of a crashed worker are
// the prime suspects; eight times the life of a task that crashes its worker
// when it starts.
constexpr std::int64_t kPrimeSuspectAgeMs = 80;
// Without a prime suspect, runs up to this age may have caused a crash.
constexpr std::int64_t kMaxSuspectAgeMs = 4000;
// A run that its worker survives for this long did not crash it at its start.
// Longer than kPrimeSuspectAgeMs by the delays of a command and a report.
constexpr Duration kSurvivalTime = std::chrono::milliseconds(500);
// Number of crashes after which a task is given up if the last one was in
// isolation, and after which it is given up in any case. Only conclusive
// crashes count towards the former.
constexpr std::size_t kCrashesInIsolation = 2;
// The same for a crash some time after the start, which may be a coincidence.
constexpr std::size_t kLateCrashesInIsolation = 3;
constexpr std::size_t kMaxCrashes = 4;
// The ages at which workers crashed are not stored. A restored suspect is
// cleared once it has survived a late crash as well, which takes twice as long.
constexpr Duration kRestoredAge =
    std::chrono::milliseconds(kMaxSuspectAgeMs / 2);
// Delay of the run after the second crash, which is twice as long after each
// further one.
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

// How a crash incriminates one run.
struct Evidence {
  MemberName worker_;
  RunKey run_;
  Duration age_;
  // True if the run had just started.
  bool prime_ = false;
  // True if no other task is blamed, and the worker was certainly alive at the
  // start.
  bool alone_ = false;
  bool conclusive_ = false;
};

std::string FormatTask(const TaskKey& key) {
  return std::to_string(key.occurrence()) + "." + std::to_string(key.step()) +
         "." + std::to_string(key.index());
}

bool Contains(const SuspectRow& row, std::int64_t run) {
  return std::any_of(
      row.crashed_runs().begin(), row.crashed_runs().end(),
      [&](const CrashedRun& crashed) { return crashed.run() == run; });
}

// Gives up the task: no further run is started, and its job fails.
void Convict(const TaskKey& key, const SuspectRow& row, SchedulerTables& tables,
             SchedulerTick& tick) {
  std::string runs;
  std::string workers;
  for (const CrashedRun& crashed : row.crashed_runs()) {
    const std::string separator = runs.empty() ? "" : ",";
    runs += separator + std::to_string(crashed.run());
    workers += separator + crashed.worker().value();
  }
  LogLine(tick, "task-given-up", key.job(),
          {Field("task", FormatTask(key)), Field("runs", runs),
           Field("workers", workers)});
  tick.counters().Add(Counter::kTasksGivenUp, Reason::kCrashedWorkers);
  FinishJob(key.job(), JobState::kFailed, Reason::kCrashedWorkers, tables,
            tick);
}

void AddEvidence(const Evidence& evidence, SchedulerTables& tables,
                 SchedulerTick& tick) {
  const TaskKey& key = evidence.run_.task();
  const JobTask* task = tables.tasks_.Find(key);
  const JobRow* job = tables.jobs_.Find(key.job());
  if (task == nullptr || task->stage() == TaskStage::kDone) return;
  if (job == nullptr || IsFinalState(job->state())) return;
  const SuspectRow* known = tables.suspects_.Find(key);
  const SuspectRow before = known == nullptr ? SuspectRow() : *known;
  if (Contains(before, evidence.run_.run())) return;
  std::vector<CrashedRun> crashed = before.crashed_runs();
  crashed.push_back(CrashedRun::Builder()
                        .run(evidence.run_.run())
                        .worker(evidence.worker_)
                        .conclusive(evidence.conclusive_)
                        .Build());
  const std::size_t count = crashed.size();
  const auto strong = static_cast<std::size_t>(
      std::count_if(crashed.begin(), crashed.end(),
                    [](const CrashedRun& run) { return run.conclusive(); }));
  const Duration delay =
      count < kCrashesInIsolation
          ? Duration()
          : kRetryDelay * (1 << (count - kCrashesInIsolation));
  const SuspectRow row =
      SuspectRow::Builder(before)
          .crashed_runs(std::move(crashed))
          .prime(before.prime() || evidence.prime_)
          .stored(false)
          .not_before(tick.now() + delay)
          .longest_age(std::max(before.longest_age(), evidence.age_))
          .Build();
  tables.suspects_.Put(key, row);
  LogLine(tick, "task-suspected", key.job(),
          {Field("task", FormatTask(key)), Field("run", evidence.run_.run()),
           Field("worker", evidence.worker_.value()), Field("crashes", count),
           Field("prime", evidence.prime_ ? 1 : 0),
           Field("alone", evidence.alone_ ? 1 : 0)});
  tables.dirty_jobs_.Add(
      key.job(), row.suspect() ? DirtyKind::kAwaited : DirtyKind::kProgress,
      tick.now());
  const bool in_isolation =
      task->step()->gang() ||
      (row.isolated() && row.isolated()->run() == evidence.run_.run());
  const std::size_t needed =
      evidence.prime_ ? kCrashesInIsolation : kLateCrashesInIsolation;
  const bool certain = strong >= needed && evidence.alone_ && in_isolation;
  if (certain || count >= kMaxCrashes) Convict(key, row, tables, tick);
}

// Returns the runs that may have caused the crash: those that had just started,
// or, if there are none, those that had started some seconds before.
std::vector<LostRun> FindBlamed(const WorkerCrash& crash) {
  const auto younger_than = [&](std::int64_t age_ms) {
    std::vector<LostRun> runs;
    std::copy_if(crash.runs().begin(), crash.runs().end(),
                 std::back_inserter(runs),
                 [&](const LostRun& run) { return run.age_ms() <= age_ms; });
    return runs;
  };
  std::vector<LostRun> blamed = younger_than(kPrimeSuspectAgeMs);
  return blamed.empty() ? younger_than(kMaxSuspectAgeMs) : blamed;
}

// Returns true if all runs belong to one task, or to one run of a gang.
bool IsOneSuspect(const std::vector<LostRun>& blamed,
                  const SchedulerTables& tables) {
  const RunKey& first = blamed.front().run();
  const JobTask* task = tables.tasks_.Find(first.task());
  const bool gang = task != nullptr && task->step()->gang();
  return std::all_of(blamed.begin(), blamed.end(), [&](const LostRun& lost) {
    const bool same_gang = gang &&
                           StepOf(lost.run().task()) == StepOf(first.task()) &&
                           lost.run().run() == first.run();
    return lost.run() == first || same_gang;
  });
}

void RecordCrash(const MemberName& name, const WorkerCrash& crash,
                 const std::optional<WorkerDescription>& facts,
                 SchedulerTables& tables, SchedulerTick& tick) {
  const std::vector<LostRun> blamed = FindBlamed(crash);
  std::vector<RunKey> runs;
  runs.reserve(blamed.size());
  for (const LostRun& lost : blamed) runs.push_back(lost.run());
  LogLine(
      tick, "worker-crashed", 0,
      {Field("member", name.value()), Field("born_ms", crash.born_ms()),
       Field("runs", crash.runs().size()), Field("suspects", blamed.size())});
  CrashRow::Builder row;
  row.lost_at(tick.now() - std::chrono::milliseconds(crash.since_ms()))
      .blamed(std::move(runs));
  if (facts) row.zone(facts->zone()).labels(facts->labels());
  const CrashKey key{name, crash.born_ms()};
  tables.crashes_.Put(key, row.Build());
  const bool correlated = ExcuseCorrelated(key, tables, tick);
  if (blamed.empty()) return;
  const bool prime = blamed.front().age_ms() <= kPrimeSuspectAgeMs;
  const bool alive_at_start =
      std::all_of(blamed.begin(), blamed.end(),
                  [](const LostRun& lost) { return lost.age_ms() >= 0; });
  const bool alone = alive_at_start && IsOneSuspect(blamed, tables);
  for (const LostRun& lost : crash.runs()) {
    if (lost.age_ms() >= 0) MarkBegan(lost.run().task().job(), tables, tick);
  }
  for (const LostRun& lost : blamed) {
    AddEvidence({name, lost.run(), std::chrono::milliseconds(lost.age_ms()),
                 prime, alone, !correlated && lost.age_ms() >= 0},
                tables, tick);
  }
}

// Returns true if the store contains all that follows from the crash.
bool IsStored(const CrashRow& crash, const SchedulerTables& tables) {
  return std::all_of(
      crash.blamed().begin(), crash.blamed().end(), [&](const RunKey& run) {
        const JobRow* job = tables.jobs_.Find(run.task().job());
        if (job == nullptr) return true;
        if (IsFinalState(job->state())) return job->closed();
        const SuspectRow* row = tables.suspects_.Find(run.task());
        return row == nullptr || row->stored() || !Contains(*row, run.run());
      });
}

bool IsListed(const RunKey& run, const WorkerReport& report) {
  return std::any_of(report.running().begin(), report.running().end(),
                     [&](const RunProgress& r) { return r.run() == run; }) ||
         std::any_of(report.ends().begin(), report.ends().end(),
                     [&](const RunEnd& end) { return end.run() == run; });
}

// Handles isolated runs whose worker and its runner's process are both gone, so
// that nobody else knows how the runs ended. A run that may have been started
// there and is not listed counts as a crash.
void InferCrashes(const MemberName& name, const WorkerReport& report,
                  SchedulerTables& tables, SchedulerTick& tick) {
  const MemberRow* member = tables.members_.Find(name);
  const WorkerRow* worker = tables.workers_.Find(name);
  if (!report.whole() || !report.facts() || member == nullptr) return;
  std::vector<RunKey> lost;
  for (const auto& [key, row] : tables.suspects_) {
    if (!row.isolated() || !row.started_at()) continue;
    const IsolatedRun& isolated = *row.isolated();
    const bool replaced = isolated.worker() == name &&
                          isolated.born_ms() != report.facts()->born_ms() &&
                          isolated.agent() != member->record().incarnation();
    if (!replaced || Contains(row, isolated.run())) continue;
    const bool left = worker != nullptr && worker->facts() &&
                      worker->facts()->born_ms() == isolated.born_ms() &&
                      worker->facts()->draining();
    const RunKey run = RunKey::Builder().task(key).run(isolated.run()).Build();
    if (!left && !IsListed(run, report)) lost.push_back(run);
  }
  for (const RunKey& run : lost) {
    AddEvidence({name, run, Duration(), false, false, true}, tables, tick);
  }
}

// Returns the age beyond which a run of the task shows that it does not crash
// its worker.
Duration AgeOfSurvival(const SuspectRow& row) {
  const Duration shortest =
      row.prime() ? kSurvivalTime : std::chrono::milliseconds(kMaxSuspectAgeMs);
  return std::max<Duration>(shortest, 2 * row.longest_age());
}

}  // namespace

void HandleCrashes(const MemberName& name, const WorkerReport& report,
                   SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow* worker = tables.workers_.Find(name);
  const std::optional<WorkerDescription> facts =
      report.facts() ? report.facts()
                     : (worker == nullptr ? std::nullopt : worker->facts());
  for (const WorkerCrash& crash : report.crashes()) {
    const CrashKey key{name, crash.born_ms()};
    if (tables.crashes_.Find(key) == nullptr) {
      RecordCrash(name, crash, facts, tables, tick);
    }
    const MemberRow* member = tables.members_.Find(name);
    if (!IsStored(*tables.crashes_.Find(key), tables)) continue;
    if (member == nullptr || !member->connection()) continue;
    tick.Emit(
        SendToRunner::Builder()
            .connection(*member->connection())
            .message(
                AcknowledgeCrash::Builder().born_ms(crash.born_ms()).Build())
            .Build());
  }
  InferCrashes(name, report, tables, tick);
}

void ClearSurvivors(const MemberName& name, const WorkerReport& report,
                    SchedulerTables& tables, SchedulerTick& tick) {
  const WorkerRow* worker = tables.workers_.Find(name);
  if (report.heard_ms() < 0 || worker == nullptr || !worker->reported()) return;
  const Instant alive_at =
      tick.now() - std::chrono::milliseconds(report.heard_ms());
  std::vector<TaskKey> survivors;
  for (const auto& [key, row] : tables.suspects_) {
    const JobTask* task = tables.tasks_.Find(key);
    if (task == nullptr || task->stage() != TaskStage::kAssigned) continue;
    if (task->worker() != name || task->run() <= row.last_crashed()) continue;
    if (alive_at - task->assigned_at() < AgeOfSurvival(row)) continue;
    survivors.push_back(key);
  }
  for (const TaskKey& key : survivors) ClearSuspect(key, tables, tick);
}

void ClearEndedSuspect(const RunEnd& end, SchedulerTables& tables,
                       SchedulerTick& tick) {
  const SuspectRow* row = tables.suspects_.Find(end.run().task());
  if (row == nullptr || end.run().run() <= row->last_crashed()) return;
  // These tell of another member of the gang.
  if (end.outcome() == RunOutcome::kBroken ||
      end.outcome() == RunOutcome::kAlone) {
    return;
  }
  ClearSuspect(end.run().task(), tables, tick);
}

std::vector<std::pair<TaskKey, SuspectRow>> SuspectsOf(
    std::uint64_t job, const SchedulerTables& tables) {
  std::vector<std::pair<TaskKey, SuspectRow>> rows;
  auto row = tables.suspects_.LowerBound(TaskKey::Builder().job(job).Build());
  for (; row != tables.suspects_.end() && row->first.job() == job; ++row) {
    rows.emplace_back(row->first, row->second);
  }
  return rows;
}

void MarkSuspectsStored(
    const std::vector<std::pair<TaskKey, SuspectRow>>& stored,
    SchedulerTables& tables) {
  for (const auto& [key, row] : stored) {
    const SuspectRow* known = tables.suspects_.Find(key);
    // The evidence that came while the commit was in flight needs another one.
    if (known == nullptr || known->crashed_runs() != row.crashed_runs() ||
        known->isolated() != row.isolated()) {
      continue;
    }
    tables.suspects_.Put(key, SuspectRow::Builder(*known).stored(true).Build());
  }
}

void RestoreSuspect(const TaskKey& key, const TaskProgress& known,
                    SchedulerTables& tables) {
  if (known.done() || known.crashed_runs().empty()) return;
  tables.suspects_.Put(key, SuspectRow::Builder()
                                .crashed_runs(known.crashed_runs())
                                .prime(true)
                                .longest_age(kRestoredAge)
                                .isolated(known.isolated())
                                .started_at(Instant())
                                .stored(true)
                                .Build());
}

}  // namespace quetzalline
