#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/validate_record.h"
#include "systems/runner/detect_unresponsive_worker.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/record_crash.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/watch_worker.h"
#include "systems/scheduler/commit_progress.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/isolate_suspects.h"
#include "systems/scheduler/track_crashes.h"
#include "systems/scheduler/track_jobs.h"
#include "wire/flex_encoding.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep Step(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(1000)
      .memory_mb(100)
      .estimate(milliseconds(500))
      .Build();
}

JobDefinition Job(const JobStep& step) {
  return JobDefinition::Builder().spec("spec").steps({step}).Build();
}

TaskKey TaskOf(std::uint64_t job, std::int32_t index = 0) {
  return TaskKey::Builder().job(job).index(index).Build();
}

RunKey RunOf(std::uint64_t job, std::int32_t index, std::int64_t run) {
  return RunKey::Builder().task(TaskOf(job, index)).run(run).Build();
}

std::int64_t Conclusive(const SuspectRow& row) {
  return std::count_if(row.crashed_runs().begin(), row.crashed_runs().end(),
                       [](const CrashedRun& run) { return run.conclusive(); });
}

LostRun Lost(const RunKey& run, std::int64_t age_ms) {
  return LostRun::Builder().run(run).age_ms(age_ms).Build();
}

// A fleet whose workers crash, and whose store stores what the holder wants as
// soon as it is told to.
struct CrashingFleet {
  explicit CrashingFleet(int workers) : fleet_(workers) {}

  SchedulerTables& tables() { return fleet_.tables(); }
  SchedulerTick Tick() {
    return SchedulerTick(now_, random_, tables().counters_);
  }
  const SuspectRow* Suspect(std::uint64_t job, std::int32_t index = 0) {
    return tables().suspects_.Find(TaskOf(job, index));
  }
  TaskStage Stage(std::uint64_t job, std::int32_t index = 0) {
    return tables().tasks_.Find(TaskOf(job, index))->stage();
  }
  JobState State(std::uint64_t job) {
    return tables().jobs_.Find(job)->state();
  }

  // Advances the time; the workers are in touch.
  void Pass(Duration time) {
    now_ += time;
    tables().last_tick_ = now_;
    tables().attention_ = now_;
    tables().term_ =
        HolderTerm::Builder(tables().term_).confirmed_at(now_).Build();
    for (const auto& [name, row] : tables().workers_.Sorted()) {
      tables().workers_.Put(name,
                            WorkerRow::Builder(row).granted_at(now_).Build());
      tables().members_.Put(name,
                            MemberRow::Builder(*tables().members_.Find(name))
                                .heard_at(now_)
                                .heard_attention(now_)
                                .Build());
    }
  }

  // Handles the full report of a worker's next incarnation after a crash with
  // these runs. Returns the number of crashes that are acknowledged.
  std::size_t Crash(int worker, const std::vector<LostRun>& runs,
                    std::int64_t since_ms = 3000) {
    const MemberName name = PlacementFleet::Name(worker);
    const WorkerDescription facts = *tables().workers_.Find(name)->facts();
    crash_ = WorkerCrash::Builder()
                 .born_ms(facts.born_ms())
                 .since_ms(since_ms)
                 .runs(runs)
                 .Build();
    return Report(
        worker,
        WorkerDescription::Builder(facts).born_ms(facts.born_ms() + 1).Build());
  }
  std::size_t Report(int worker, const WorkerDescription& facts) {
    SchedulerTick tick = Tick();
    HandleReport(ConnectionId(static_cast<std::uint64_t>(worker) + 1),
                 WorkerReport::Builder()
                     .whole(true)
                     .facts(facts)
                     .crashes({crash_})
                     .heard_ms(0)
                     .Build(),
                 tables(), tick);
    std::size_t acknowledged = 0;
    for (const SchedulerEffect& effect : tick.TakeEffects()) {
      const auto* sent = std::get_if<SendToRunner>(&effect);
      if (sent == nullptr) continue;
      if (std::holds_alternative<AcknowledgeCrash>(sent->message())) {
        ++acknowledged;
      }
    }
    return acknowledged;
  }

  // Runs the systems that start work. Returns the runs that were started.
  std::vector<RunKey> Place() {
    SchedulerTick tick = Tick();
    tables().placement_due_ = true;
    GrantLeases(tables(), tick);
    IsolateSuspects(tables(), tick);
    PlaceRuns(tables(), tick);
    std::vector<RunKey> started;
    for (const SchedulerEffect& effect : tick.TakeEffects()) {
      const auto* sent = std::get_if<SendToRunner>(&effect);
      if (sent == nullptr) continue;
      const auto* start = std::get_if<StartRun>(&sent->message());
      if (start != nullptr) started.push_back(start->run());
    }
    return started;
  }

  // The store stores all evidence.
  void Store() {
    std::vector<std::pair<TaskKey, SuspectRow>> rows;
    for (const auto& [key, row] : tables().suspects_)
      rows.emplace_back(key, row);
    MarkSuspectsStored(rows, tables());
  }

  // Plans, stores and starts what waits.
  std::vector<RunKey> StoreAndPlace() {
    Place();
    Store();
    return Place();
  }

  void Assign(std::uint64_t job, std::int32_t index, int worker,
              std::int64_t run) {
    tables().tasks_.Put(
        TaskOf(job, index),
        JobTask::Builder(*tables().tasks_.Find(TaskOf(job, index)))
            .stage(TaskStage::kAssigned)
            .worker(PlacementFleet::Name(worker))
            .run(run)
            .assigned_at(now_)
            .Build());
  }

  // Assigns the only task of the job in isolation.
  void Isolate(std::uint64_t job, int worker, std::int64_t run) {
    Assign(job, 0, worker, run);
    const SuspectRow* known = Suspect(job);
    tables().suspects_.Put(
        TaskOf(job),
        SuspectRow::Builder(known == nullptr ? SuspectRow() : *known)
            .isolated(IsolatedRun::Builder()
                          .run(run)
                          .worker(PlacementFleet::Name(worker))
                          .Build())
            .started_at(now_)
            .Build());
  }

  PlacementFleet fleet_;
  Instant now_ = kFleetNow;
  Random random_{1};
  WorkerCrash crash_;
};

// A runner whose worker has started runs.
struct CrashingRunner {
  CrashingRunner() {
    Announce(1, false);
    tables_.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
  }
  RunnerTick Tick() { return RunnerTick(now_, random_, tables_.counters_); }

  void Announce(std::int64_t born_ms, bool draining) {
    RunnerTick tick = Tick();
    HandleWorkerAnnounced(WorkerAnnounced::Builder()
                              .facts(WorkerDescription::Builder()
                                         .worker("worker")
                                         .born_ms(born_ms)
                                         .cpu(8000)
                                         .memory_mb(8000)
                                         .draining(draining)
                                         .Build())
                              .sequence(++sequence_)
                              .Build(),
                          tables_, tick);
  }
  void Start(std::uint64_t job, bool isolated = false) {
    RunnerTick tick = Tick();
    HandleStartRun(StartRun::Builder()
                       .run(RunOf(job, 0, 1))
                       .born_ms(tables_.facts_->born_ms())
                       .cpu(100)
                       .memory_mb(1)
                       .isolated(isolated)
                       .Build(),
                   tables_, tick);
    SendCommands(tables_, tick);
  }
  // Starts a run, which the worker confirms.
  void StartConfirmed(std::uint64_t job, bool isolated = false) {
    Start(job, isolated);
    Answer(true);
    RunnerTick tick = Tick();
    HandleStartAnswer(
        RunOf(job, 0, 1), CurrentFencingToken(tables_),
        WorkerAnswer::Builder().verdict(WorkerCallOutcome::kDone).Build(),
        tables_, tick);
  }
  // Answers a call, which need not be that of a start.
  void Answer(bool answered) {
    RunnerTick tick = Tick();
    CheckWorkerIncarnation(WorkerAnswer::Builder()
                               .verdict(answered ? WorkerCallOutcome::kDone
                                                 : WorkerCallOutcome::kLost)
                               .born_ms(tables_.facts_->born_ms())
                               .Build(),
                           tables_, tick);
  }
  // Returns the number of polls that do not wait for an end.
  std::size_t ImmediatePolls() {
    RunnerTick tick = Tick();
    SendWorkerPolls(tables_, tick);
    std::size_t polls = 0;
    for (const RunnerEffect& effect : tick.TakeEffects()) {
      const auto* poll = std::get_if<WorkerPoll>(&effect);
      if (poll != nullptr && poll->wait() == Duration()) ++polls;
    }
    return polls;
  }
  std::vector<WorkerCrash> Crashes() { return CollectCrashes(tables_, now_); }

  Instant now_ = kFleetNow;
  Random random_{1};
  RunnerTables tables_;
  std::int64_t sequence_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(crashing_tasks)

// Guards against a task that is started without limit, since a run that is lost
// with its worker counts nothing.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up) {
  VirtualCell cell(4, 1, 1);
  cell.RunFor(seconds(3));
  const std::uint64_t beside = cell.Submit(Job(Step(8)));
  const std::uint64_t job = cell.Submit(Job(Step(1)));
  cell.SetTaskCrash(TaskOf(job), TaskCrash());
  cell.RunFor(seconds(30));
  cell.QueryJob(job);
  cell.QueryJob(beside);
  cell.RunFor(seconds(2));
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(job)) == 2);
  BOOST_TEST((cell.StateOf(job) == JobState::kFailed));
  BOOST_TEST((cell.StateOf(beside) == JobState::kCompleted));
  BOOST_TEST(cell.log().violations().empty());
}

// Guards against long-running tasks, which have no limit of attempts, that
// crash one worker after the other.
BOOST_AUTO_TEST_CASE(a_long_running_task_that_crashes_workers_is_given_up) {
  VirtualCell cell(4, 1, 2);
  cell.RunFor(seconds(3));
  const std::uint64_t job =
      cell.Submit(Job(JobStep::Builder(Step(3)).long_running(true).Build()));
  cell.SetTaskCrash(TaskOf(job, 1), TaskCrash());
  cell.RunFor(seconds(40));
  cell.QueryJob(job);
  cell.RunFor(seconds(2));
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(job, 1)) <= 3);
  BOOST_TEST((cell.StateOf(job) == JobState::kFailed));
  std::size_t running = 0;
  for (std::size_t i = 0; i < 4; ++i) running += cell.worker(i).running();
  BOOST_TEST(running == 0U);
  BOOST_TEST(cell.log().violations().empty());
}

// Guards against a gang that crashes the worker of one of its members without
// limit, since a gang cannot start one member at a time. Its members wait for
// the store only.
BOOST_AUTO_TEST_CASE(a_gang_that_crashes_workers_is_given_up) {
  CrashingFleet fleet(4);
  const std::uint64_t job = fleet.fleet_.AddJob(
      JobStep::Builder(Step(2)).gang(true).most_per_worker(1).Build());
  fleet.Assign(job, 0, 0, 1);
  fleet.Assign(job, 1, 1, 1);
  fleet.Crash(1, {Lost(RunOf(job, 1, 1), 5)});
  SchedulerTick tick = fleet.Tick();
  ReturnTask(TaskOf(job, 0), Reason::kNeverArrived, fleet.tables(), tick);
  fleet.Pass(seconds(1));
  BOOST_TEST(fleet.Place().empty());
  BOOST_TEST((fleet.Stage(job, 1) == TaskStage::kQuarantined));
  fleet.Store();
  fleet.Pass(milliseconds(100));
  const std::vector<RunKey> started = fleet.Place();
  BOOST_REQUIRE(started.size() == 2U);
  BOOST_TEST(started[0].run() == started[1].run());
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
  const MemberName second =
      fleet.tables().tasks_.Find(TaskOf(job, 1))->worker();
  int worker = 0;
  while (PlacementFleet::Name(worker) != second) ++worker;
  fleet.Crash(worker, {Lost(RunOf(job, 1, started[1].run()), 5)});
  BOOST_TEST((fleet.State(job) == JobState::kFailed));
}

// Guards against a count that ends with the holder: the holder is killed after
// each crash, so that three of them see one crash each.
BOOST_AUTO_TEST_CASE(the_evidence_outlives_holders_that_are_killed) {
  VirtualCell cell(5, 1, 4);
  cell.RunFor(seconds(3));
  const std::uint64_t job = cell.Submit(Job(Step(1)));
  cell.SetTaskCrash(TaskOf(job), TaskCrash());
  std::int32_t crashes = 0;
  for (int tick = 0; tick < 600; ++tick) {
    cell.RunFor(milliseconds(100));
    const std::int32_t now = cell.log().CrashesCausedBy(TaskOf(job));
    if (now == crashes || !cell.Holder()) continue;
    crashes = now;
    const std::size_t holder = *cell.Holder();
    cell.KillAgent(holder);
    cell.RunFor(seconds(1));
    cell.StartAgent(holder);
  }
  cell.QueryJob(job);
  cell.RunFor(seconds(2));
  BOOST_TEST((cell.StateOf(job) == JobState::kFailed));
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(job)) <= 4);
  BOOST_TEST(cell.log().violations().empty());
}

// Guards against work that only stood beside the task and is given up with it.
BOOST_AUTO_TEST_CASE(work_beside_a_crash_is_not_given_up) {
  CrashingFleet fleet(4);
  const std::uint64_t young = fleet.fleet_.AddJob(Step(2));
  const std::uint64_t old = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(young, 0, 0, 1);
  fleet.Assign(young, 1, 0, 1);
  fleet.Assign(old, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(young, 0, 1), 5), Lost(RunOf(young, 1, 1), 60),
                  Lost(RunOf(old, 0, 1), 2000)});
  BOOST_TEST((fleet.Suspect(young, 0) != nullptr));
  BOOST_TEST((fleet.Suspect(young, 1) != nullptr));
  BOOST_TEST((fleet.Suspect(old) == nullptr));
  BOOST_TEST((fleet.State(young) != JobState::kFailed));
}

// Guards against two suspects that start together, so that a second crash tells
// no more than the first, and against other work beside the one that started.
BOOST_AUTO_TEST_CASE(one_suspect_at_a_time_starts_on_a_worker) {
  CrashingFleet fleet(1);
  const std::uint64_t a = fleet.fleet_.AddJob(Step(1));
  const std::uint64_t b = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(a, 0, 0, 1);
  fleet.Assign(b, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(a, 0, 1), 5), Lost(RunOf(b, 0, 1), 5)});
  fleet.Pass(seconds(1));
  BOOST_TEST(fleet.StoreAndPlace().size() == 1U);
  const std::uint64_t other = fleet.fleet_.AddJob(Step(1));
  fleet.Pass(milliseconds(100));
  fleet.Store();
  BOOST_TEST(fleet.Place().empty());
  fleet.Pass(milliseconds(100));
  BOOST_TEST(fleet.Place().size() == 1U);
  BOOST_TEST((fleet.Stage(other) == TaskStage::kReady));
}

// Guards against suspects that keep other work from most of the workers.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_workers_are_isolated) {
  for (const int workers : {1, 2, 4, 5}) {
    CrashingFleet fleet(workers);
    std::vector<LostRun> lost;
    for (int i = 0; i < 6; ++i) {
      const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
      fleet.Assign(job, 0, 0, 1);
      lost.push_back(Lost(RunOf(job, 0, 1), 5));
    }
    fleet.Crash(0, lost);
    fleet.Pass(seconds(1));
    const auto started = static_cast<int>(fleet.StoreAndPlace().size());
    BOOST_TEST(started == std::max(workers / 2, 1));
  }
}

// Guards against several suspects of one job at a time: each of them crashes a
// worker, although one is enough to end the job.
BOOST_AUTO_TEST_CASE(one_suspect_of_a_job_starts_at_a_time) {
  CrashingFleet fleet(6);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(2));
  fleet.Assign(job, 0, 0, 1);
  fleet.Assign(job, 1, 0, 1);
  fleet.Crash(0, {Lost(RunOf(job, 0, 1), 5), Lost(RunOf(job, 1, 1), 5)});
  fleet.Pass(seconds(1));
  BOOST_TEST(fleet.StoreAndPlace().size() == 1U);
  fleet.Pass(seconds(1));
  BOOST_TEST(fleet.StoreAndPlace().empty());
}

// Guards against a suspect that starts before its evidence is stored, while the
// store is silent, and against work beside it that waits as well.
BOOST_AUTO_TEST_CASE(a_suspect_waits_for_the_store_and_other_work_does_not) {
  CrashingFleet fleet(3);
  const std::uint64_t young = fleet.fleet_.AddJob(Step(1));
  const std::uint64_t old = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(young, 0, 0, 1);
  fleet.Assign(old, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(young, 0, 1), 5), Lost(RunOf(old, 0, 1), 900)});
  std::vector<RunKey> started;
  for (int i = 0; i < 20; ++i) {
    fleet.Pass(milliseconds(500));
    for (const RunKey& run : fleet.Place()) started.push_back(run);
  }
  BOOST_TEST(started.size() == 1U);
  BOOST_TEST((started.front().task() == TaskOf(old)));
  fleet.Store();
  BOOST_TEST(fleet.Place().size() == 1U);
}

// Guards against a crash that counts twice, as it is reported until its
// evidence is stored, and against an acknowledgement before that.
BOOST_AUTO_TEST_CASE(a_crash_that_is_reported_again_counts_once) {
  CrashingFleet fleet(3);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(job, 0, 0, 1);
  BOOST_TEST(fleet.Crash(0, {Lost(RunOf(job, 0, 1), 5)}) == 0U);
  const WorkerDescription facts =
      *fleet.tables().workers_.Find(PlacementFleet::Name(0))->facts();
  BOOST_TEST(fleet.Report(0, facts) == 0U);
  BOOST_TEST(fleet.Suspect(job)->crashed_runs().size() == 1U);
  fleet.Store();
  BOOST_TEST(fleet.Report(0, facts) == 1U);
  // A new holder does not know the crash, but its run from the store.
  fleet.tables().crashes_ = {};
  BOOST_TEST(fleet.Report(0, facts) == 1U);
  BOOST_TEST(fleet.Suspect(job)->crashed_runs().size() == 1U);
}

// Guards against a conviction by one crash, by the crash of a worker on which
// another task had just started, or by one outside of isolation.
BOOST_AUTO_TEST_CASE(two_crashes_convict_only_in_isolation) {
  CrashingFleet fleet(4);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  const std::uint64_t other = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(job, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(job, 0, 1), 5)});
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
  fleet.Isolate(job, 1, 2);
  fleet.Assign(other, 0, 1, 1);
  fleet.Crash(1, {Lost(RunOf(job, 0, 2), 5), Lost(RunOf(other, 0, 1), 5)});
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
  fleet.Isolate(job, 2, 3);
  fleet.Crash(2, {Lost(RunOf(job, 0, 3), 5)});
  BOOST_TEST((fleet.State(job) == JobState::kFailed));
  BOOST_TEST((fleet.State(other) != JobState::kFailed));
}

// Guards against a conviction by starts on a worker that was gone already, but
// had not been missed yet. They count, since they may have been carried out.
BOOST_AUTO_TEST_CASE(a_start_on_a_worker_that_may_be_gone_is_weak_evidence) {
  CrashingFleet fleet(4);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  for (int run = 1; run <= 4; ++run) {
    BOOST_TEST((fleet.State(job) != JobState::kFailed));
    fleet.Isolate(job, run - 1, run);
    fleet.Crash(run - 1, {Lost(RunOf(job, 0, run), -300)});
  }
  BOOST_TEST((fleet.State(job) == JobState::kFailed));
}

// Guards against a conviction by one crash in isolation, which may be a
// coincidence, after a start on a worker that was gone already.
BOOST_AUTO_TEST_CASE(a_start_on_a_lost_worker_and_one_crash_do_not_convict) {
  CrashingFleet fleet(3);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(job, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(job, 0, 1), -300)});
  fleet.Isolate(job, 1, 2);
  fleet.Crash(1, {Lost(RunOf(job, 0, 2), 5)});
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
  fleet.Isolate(job, 2, 3);
  fleet.Crash(2, {Lost(RunOf(job, 0, 3), 5)});
  BOOST_TEST((fleet.State(job) == JobState::kFailed));
}

// Guards against work that is given up although it ran well elsewhere.
BOOST_AUTO_TEST_CASE(a_suspect_that_ends_or_survives_is_cleared) {
  CrashingFleet fleet(4);
  const std::uint64_t ends = fleet.fleet_.AddJob(Step(1));
  const std::uint64_t survives = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(ends, 0, 0, 1);
  fleet.Assign(survives, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(ends, 0, 1), 5), Lost(RunOf(survives, 0, 1), 5)});
  fleet.Assign(ends, 0, 1, 2);
  fleet.Assign(survives, 0, 2, 2);
  SchedulerTick tick = fleet.Tick();
  HandleRunEnd(PlacementFleet::Name(1),
               RunEnd::Builder()
                   .number(1)
                   .run(RunOf(ends, 0, 2))
                   .outcome(RunOutcome::kStopped)
                   .Build(),
               fleet.tables(), tick);
  BOOST_TEST((fleet.Suspect(ends) == nullptr));
  fleet.Pass(seconds(3));
  // The worker has not answered for most of that time.
  const MemberName name = PlacementFleet::Name(2);
  SchedulerTick later = fleet.Tick();
  ClearSurvivors(name, WorkerReport::Builder().heard_ms(2900).Build(),
                 fleet.tables(), later);
  BOOST_TEST((fleet.Suspect(survives) != nullptr));
  ClearSurvivors(name, WorkerReport::Builder().heard_ms(100).Build(),
                 fleet.tables(), later);
  BOOST_TEST((fleet.Suspect(survives) == nullptr));
}

// Guards against work with a checkpoint that crashes its workers only after a
// while and is started without limit.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_after_a_while_is_given_up) {
  CrashingFleet fleet(4);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  for (int run = 1; run <= 4; ++run) {
    fleet.Assign(job, 0, run - 1, run);
    BOOST_TEST((fleet.State(job) != JobState::kFailed));
    fleet.Crash(run - 1, {Lost(RunOf(job, 0, run), 1500)});
  }
  BOOST_TEST((fleet.State(job) == JobState::kFailed));
  // In isolation, three crashes are enough.
  const std::uint64_t other = fleet.fleet_.AddJob(Step(1));
  for (int run = 1; run <= 3; ++run) {
    BOOST_TEST((fleet.State(other) != JobState::kFailed));
    fleet.Assign(other, 0, run - 1, run);
    if (run == 3) fleet.Isolate(other, run - 1, run);
    fleet.Crash(run - 1, {Lost(RunOf(other, 0, run), 1500)});
  }
  BOOST_TEST((fleet.State(other) == JobState::kFailed));
}

// Guards against convictions by a rack that loses power: the runs of all its
// workers are lost at once.
BOOST_AUTO_TEST_CASE(a_rack_that_is_lost_convicts_nobody) {
  CrashingFleet fleet(6);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(4));
  for (int worker = 0; worker < 4; ++worker) {
    const MemberName name = PlacementFleet::Name(worker);
    const WorkerRow row = *fleet.tables().workers_.Find(name);
    fleet.tables().workers_.Put(
        name, WorkerRow::Builder(row)
                  .facts(WorkerDescription::Builder(*row.facts())
                             .labels({"rack-1"})
                             .Build())
                  .Build());
    fleet.Assign(job, worker, worker, 2);
    fleet.tables().suspects_.Put(
        TaskOf(job, worker),
        SuspectRow::Builder()
            .crashed_runs(
                {CrashedRun::Builder().run(1).conclusive(true).Build()})
            .Build());
  }
  const std::uint64_t other = fleet.fleet_.AddJob(Step(4));
  for (int worker = 0; worker < 4; ++worker) {
    fleet.Assign(other, worker, worker, 1);
    fleet.Crash(
        worker,
        {Lost(RunOf(job, worker, 2), 5), Lost(RunOf(other, worker, 1), 5)},
        3000 + 100 * worker);
  }
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
  BOOST_TEST((fleet.State(other) != JobState::kFailed));
  for (std::int32_t index = 0; index < 4; ++index) {
    BOOST_TEST(Conclusive(*fleet.Suspect(job, index)) == 1);
    BOOST_TEST(Conclusive(*fleet.Suspect(other, index)) == 0);
  }
  // A single crash in isolation may be a coincidence.
  fleet.Isolate(other, 4, 2);
  fleet.Crash(4, {Lost(RunOf(other, 0, 2), 5)}, 0);
  BOOST_TEST((fleet.State(other) != JobState::kFailed));
}

// Half of the fleet is lost at once, and no zone or label says that its workers
// have anything in common.
BOOST_AUTO_TEST_CASE(a_fleet_that_is_lost_convicts_nobody) {
  CrashingFleet fleet(6);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(4));
  for (int worker = 0; worker < 4; ++worker) {
    fleet.Assign(job, worker, worker, 1);
    fleet.Crash(worker, {Lost(RunOf(job, worker, 1), 5)}, 3000 + 100 * worker);
  }
  for (std::int32_t index = 0; index < 4; ++index) {
    BOOST_TEST(Conclusive(*fleet.Suspect(job, index)) == 0);
  }
  fleet.Assign(job, 0, 4, 2);
  fleet.Crash(4, {Lost(RunOf(job, 0, 2), 5)}, 0);
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
}

// Guards against tasks that crash several workers of a zone at about the same
// time and are taken for the victims of a lost rack again and again.
BOOST_AUTO_TEST_CASE(tasks_that_crash_a_zone_are_given_up) {
  VirtualCell cell(6, 1, 1);
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetZone(AvailabilityZone("zone"));
  }
  cell.RunFor(seconds(4));
  std::vector<std::uint64_t> crashing;
  std::vector<std::uint64_t> sound;
  for (int i = 0; i < 12; ++i) {
    crashing.push_back(cell.Submit(Job(Step(1))));
    cell.SetTaskCrash(TaskOf(crashing.back()), TaskCrash());
    for (int k = 0; k < 4; ++k) sound.push_back(cell.Submit(Job(Step(1))));
    cell.RunFor(milliseconds(60));
  }
  cell.RunFor(seconds(90));
  for (const std::uint64_t job : crashing) cell.QueryJob(job);
  cell.RunFor(seconds(2));
  for (const std::uint64_t job : crashing) {
    BOOST_TEST((cell.StateOf(job) == JobState::kFailed));
  }
  for (const std::uint64_t job : sound) {
    BOOST_TEST(cell.log().IsDone(TaskOf(job)));
  }
  for (const std::string& violation : cell.log().violations()) {
    BOOST_ERROR(violation);
  }
}

// Guards against a planned run that a later holder forgets, since the agent on
// its worker's machine is gone as well.
BOOST_AUTO_TEST_CASE(a_stored_run_is_missed_by_the_next_holder) {
  CrashingFleet fleet(3);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  const TaskProgress known =
      TaskProgress::Builder()
          .crashed_runs({CrashedRun::Builder().run(1).Build()})
          .isolated(IsolatedRun::Builder()
                        .run(2)
                        .worker(PlacementFleet::Name(1))
                        .agent(77)
                        .born_ms(1)
                        .Build())
          .Build();
  RestoreSuspect(TaskOf(job), known, fleet.tables());
  const WorkerDescription facts =
      *fleet.tables().workers_.Find(PlacementFleet::Name(1))->facts();
  fleet.Report(1, facts);
  BOOST_TEST(fleet.Suspect(job)->crashed_runs().size() == 1U);
  const WorkerDescription next =
      WorkerDescription::Builder(facts).born_ms(2).Build();
  fleet.Report(1, next);
  fleet.Report(1, next);
  BOOST_TEST(fleet.Suspect(job)->crashed_runs().size() == 2U);
  BOOST_TEST((fleet.State(job) != JobState::kFailed));
}

// Guards against a late crash that is forgotten after a takeover, since the
// task survives its start.
BOOST_AUTO_TEST_CASE(a_restored_suspect_is_cleared_late) {
  CrashingFleet fleet(3);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  RestoreSuspect(TaskOf(job),
                 TaskProgress::Builder()
                     .crashed_runs({CrashedRun::Builder().run(1).Build()})
                     .Build(),
                 fleet.tables());
  fleet.Assign(job, 0, 1, 2);
  const MemberName name = PlacementFleet::Name(1);
  const WorkerReport report = WorkerReport::Builder().heard_ms(0).Build();
  fleet.Pass(seconds(2));
  SchedulerTick tick = fleet.Tick();
  ClearSurvivors(name, report, fleet.tables(), tick);
  BOOST_TEST((fleet.Suspect(job) != nullptr));
  fleet.Pass(seconds(3));
  SchedulerTick later = fleet.Tick();
  ClearSurvivors(name, report, fleet.tables(), later);
  BOOST_TEST((fleet.Suspect(job) == nullptr));
}

// Guards against a run number that is used twice after a plan was stored and
// never carried out.
BOOST_AUTO_TEST_CASE(the_number_of_a_planned_run_is_not_used_again) {
  CrashingFleet fleet(3);
  const std::uint64_t job = fleet.fleet_.AddJob(Step(1));
  fleet.Assign(job, 0, 0, 1);
  fleet.Crash(0, {Lost(RunOf(job, 0, 1), 5)});
  fleet.Place();
  const std::int64_t planned = fleet.Suspect(job)->isolated()->run();
  BOOST_TEST(planned == 2);
  const JobProgress progress = ProgressOf(job, fleet.tables());
  BOOST_TEST(progress.tasks().front().last_run() == planned);
  BOOST_TEST(progress.tasks().front().crashed_runs().size() == 1U);
  BOOST_TEST(
      (progress.tasks().front().isolated() == fleet.Suspect(job)->isolated()));
}

// Guards against evidence that is lost while the holder changes: the runner
// reports a crash until the holder has stored it.
BOOST_AUTO_TEST_CASE(a_runner_reports_a_crash_until_it_is_acknowledged) {
  CrashingRunner runner;
  runner.StartConfirmed(1);
  runner.now_ += milliseconds(300);
  runner.StartConfirmed(2);
  runner.now_ += milliseconds(10);
  runner.Answer(false);
  runner.now_ += milliseconds(100);
  // The worker is gone already, so this run has not crashed it.
  runner.Start(3);
  runner.now_ += seconds(3);
  runner.Announce(2, false);
  const std::vector<WorkerCrash> crashes = runner.Crashes();
  BOOST_REQUIRE(crashes.size() == 1U);
  BOOST_TEST(crashes.front().born_ms() == 1);
  BOOST_TEST(crashes.front().since_ms() == 3100);
  BOOST_REQUIRE(crashes.front().runs().size() == 2U);
  BOOST_TEST(crashes.front().runs()[0].age_ms() == 300);
  BOOST_TEST(crashes.front().runs()[1].age_ms() == 0);
  HandleAcknowledgedCrash(AcknowledgeCrash::Builder().born_ms(7).Build(),
                          runner.tables_);
  BOOST_TEST(runner.Crashes().size() == 1U);
  HandleAcknowledgedCrash(AcknowledgeCrash::Builder().born_ms(1).Build(),
                          runner.tables_);
  BOOST_TEST(runner.Crashes().empty());
}

// Guards against a conviction by a start that never arrived: the answer to an
// earlier call may come after a start that found the worker gone.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_no_sign_of_life) {
  CrashingRunner runner;
  runner.StartConfirmed(1);
  runner.now_ += milliseconds(300);
  runner.Start(2);
  runner.now_ += milliseconds(1);
  // The answer to a poll that was sent before the start.
  runner.Answer(true);
  runner.now_ += milliseconds(10);
  runner.Answer(false);
  runner.now_ += seconds(3);
  runner.Announce(2, false);
  BOOST_REQUIRE(runner.Crashes().size() == 1U);
  const WorkerCrash crash = runner.Crashes().front();
  BOOST_REQUIRE(crash.runs().size() == 2U);
  BOOST_TEST(crash.runs()[0].age_ms() == 301);
  BOOST_TEST(crash.runs()[1].age_ms() < 0);
}

// Guards against a conviction by a crash long after the start: the poll in
// flight waits for an end, so that an idle worker gives no sign of life.
BOOST_AUTO_TEST_CASE(a_runner_checks_that_a_suspect_survives_its_start) {
  CrashingRunner runner;
  runner.ImmediatePolls();
  runner.StartConfirmed(1, true);
  BOOST_TEST(runner.tables_.poll_in_flight_);
  runner.now_ += milliseconds(99);
  BOOST_TEST(runner.ImmediatePolls() == 0U);
  runner.now_ += milliseconds(1);
  BOOST_TEST(runner.ImmediatePolls() == 1U);
  runner.Answer(true);
  runner.now_ += milliseconds(50);
  runner.Announce(2, false);
  BOOST_REQUIRE(runner.Crashes().size() == 1U);
  BOOST_TEST(runner.Crashes().front().runs().front().age_ms() == 100);
}

// Guards against planned departures and silent workers that count as crashes.
BOOST_AUTO_TEST_CASE(only_an_unannounced_end_of_an_incarnation_is_a_crash) {
  CrashingRunner drained;
  drained.Start(1);
  drained.Announce(1, true);
  drained.Announce(2, false);
  BOOST_TEST(drained.Crashes().empty());
  CrashingRunner left;
  left.Start(1);
  RunnerTick tick = left.Tick();
  HandleWorkerLeft(WorkerLeft::Builder().worker("worker").Build(), left.tables_,
                   tick);
  left.Announce(2, false);
  BOOST_TEST(left.Crashes().empty());
  CrashingRunner frozen;
  frozen.Start(1);
  frozen.now_ += seconds(20);
  ExpireUnresponsiveWorker(frozen.tables_, tick);
  RunnerTick later = frozen.Tick();
  ExpireUnresponsiveWorker(frozen.tables_, later);
  BOOST_TEST(!frozen.tables_.facts_.has_value());
  CrashingRunner crashed = frozen;
  frozen.Announce(1, false);
  BOOST_TEST(frozen.Crashes().empty());
  // The same, but another incarnation returns.
  crashed.Announce(2, false);
  BOOST_REQUIRE(crashed.Crashes().size() == 1U);
  BOOST_TEST(crashed.Crashes().front().runs().size() == 1U);
  // The worker has never answered, not even the start.
  BOOST_TEST(crashed.Crashes().front().runs().front().age_ms() < 0);
}

// Guards against stored progress of earlier releases that cannot be read, and
// against numbers that would overflow.
BOOST_AUTO_TEST_CASE(stored_evidence_is_decoded_and_checked) {
  const TaskProgress progress =
      TaskProgress::Builder()
          .last_run(3)
          .crashed_runs({CrashedRun::Builder().run(2).Build()})
          .isolated(IsolatedRun::Builder().run(3).born_ms(5).Build())
          .Build();
  const auto decoded =
      FlexDecoder::Decode<TaskProgress>(FlexEncoder::Encode(progress));
  BOOST_TEST((decoded == progress));
  const JobProgress sound = JobProgress::Builder().tasks({progress}).Build();
  BOOST_TEST(!ValidateRecord(ProgressKey(1), sound));
  const JobProgress odd =
      JobProgress::Builder()
          .tasks({TaskProgress::Builder(progress)
                      .crashed_runs({CrashedRun::Builder().run(-1).Build()})
                      .Build()})
          .Build();
  BOOST_TEST(ValidateRecord(ProgressKey(1), odd).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
