#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/placement_fleet.h"
#include "systems/runner/order_runs.h"
#include "systems/runner/runner_node.h"
#include "systems/runner/watch_worker.h"
#include "systems/scheduler/commit_progress.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep Batch(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(1000)
      .memory_mb(100)
      .estimate(milliseconds(500))
      .Build();
}

RunKey Run(std::uint64_t job, std::int32_t index, std::int64_t run) {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(job).index(index).Build())
      .run(run)
      .Build();
}

RunEnd Done(std::int64_t number, const RunKey& run) {
  return RunEnd::Builder()
      .number(number)
      .run(run)
      .outcome(RunOutcome::kDone)
      .Build();
}

WorkerFacts Life(std::int64_t born_ms) {
  return WorkerFacts::Builder()
      .worker("agent-0")
      .born_ms(born_ms)
      .service(ServiceName("service"))
      .cpu(kFleetMillicores)
      .memory_mb(250'000)
      .Build();
}

// The numbers up to which runners were told to forget ends.
std::vector<std::int64_t> Noted(const std::vector<SchedulerEffect>& effects) {
  std::vector<std::int64_t> noted;
  for (const SchedulerEffect& effect : effects) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* note = std::get_if<NoteEnds>(&sent->message());
    if (note != nullptr) noted.push_back(note->up_to());
  }
  return noted;
}

// A runner whose worker has room for two tasks and holds one.
struct NarrowRunner {
  NarrowRunner() : random_(1) {
    tables_.facts_ = WorkerFacts::Builder()
                         .worker("worker")
                         .born_ms(1)
                         .cpu(2000)
                         .memory_mb(1000)
                         .Build();
    tables_.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
    Start(1, 1000);
  }

  // Whether the order went to the worker.
  bool Start(std::uint64_t job, std::int64_t cpu) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    TakeStart(StartRun::Builder()
                  .run(Run(job, 0, 1))
                  .born_ms(1)
                  .cpu(cpu)
                  .memory_mb(100)
                  .Build(),
              tables_, tick);
    for (const RunnerEffect& effect : tick.TakeEffects()) {
      if (std::holds_alternative<WorkerStart>(effect)) return true;
    }
    return false;
  }

  void Stop(std::uint64_t job) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    TakeStop(StopRun::Builder().run(Run(job, 0, 1)).Build(), tables_, tick);
  }

  Random random_;
  RunnerTables tables_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_reports)

// A commit of what an earlier life of a worker had done says nothing of the
// ends of the next one, although both count from one.
BOOST_AUTO_TEST_CASE(ends_of_a_new_life_wait_for_their_own_commit) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job = fleet.AddRunning(Batch(2), 0);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({Done(1, Run(job, 0, 1))})
                      .Build());
  BOOST_REQUIRE(tables.unnoted_ends_.size() == 1U);
  CommitBatch batch;
  batch.jobs_ = {job};
  batch.ends_ = tables.unnoted_ends_;
  tables.commit_ = batch;
  tables.dirty_jobs_.Clear();

  fleet.Report(
      0,
      WorkerReport::Builder().number(2).whole(true).worker_left(true).Build());
  tables.tasks_.Put(Run(job, 1, 2).task(), JobTask::Builder()
                                               .stage(TaskStage::kAssigned)
                                               .step(Batch(2))
                                               .worker(MemberName("agent-0"))
                                               .run(2)
                                               .Build());
  const auto effects = fleet.Report(0, WorkerReport::Builder()
                                           .number(3)
                                           .whole(true)
                                           .facts(Life(2))
                                           .ends({Done(1, Run(job, 1, 2))})
                                           .Build());
  BOOST_TEST(Noted(effects).empty());

  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  TakeCommit(KvsCommitted::Builder().revision(7).Build(), tables, tick);
  BOOST_TEST(Noted(tick.TakeEffects()).empty());
}

// The room of a run that is being stopped, since an earlier run of its task was
// done after all, is taken until its own end is listed.
BOOST_AUTO_TEST_CASE(a_superseded_run_keeps_its_room_until_its_end) {
  PlacementFleet fleet(2);
  const std::uint64_t job = fleet.AddRunning(Batch(1), 0);
  fleet.tables().tasks_.Put(Run(job, 0, 2).task(),
                            JobTask::Builder()
                                .stage(TaskStage::kAssigned)
                                .step(Batch(1))
                                .worker(MemberName("agent-0"))
                                .run(2)
                                .Build());
  fleet.Report(1, WorkerReport::Builder()
                      .number(1)
                      .ends({Done(1, Run(job, 0, 1))})
                      .Build());
  fleet.AddJob(Batch(20));
  fleet.Place();
  BOOST_TEST(fleet.OnWorker(0) == 0U);
  BOOST_TEST(fleet.OnWorker(1) == 20U);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({RunEnd::Builder()
                                 .number(1)
                                 .run(Run(job, 0, 2))
                                 .outcome(RunOutcome::kStopped)
                                 .Build()})
                      .Build());
  fleet.AddJob(Batch(20));
  fleet.Place();
  BOOST_TEST(fleet.OnWorker(0) > 0U);
}

// A runner is the only caller of its worker, so that no stale view of its room
// can overfill it.
BOOST_AUTO_TEST_CASE(a_runner_refuses_what_its_worker_has_no_room_for) {
  NarrowRunner runner;
  BOOST_TEST(!runner.Start(2, 1001));
  BOOST_TEST(runner.tables_.refusals_.size() == 1U);
  BOOST_TEST(
      (runner.tables_.refusals_.front().reason() == Reason::kDoesNotFit));
  BOOST_TEST(runner.Start(3, 1000));
}

BOOST_AUTO_TEST_CASE(a_run_that_is_being_stopped_still_takes_room) {
  NarrowRunner runner;
  runner.Stop(1);
  BOOST_TEST(!runner.Start(2, 1001));
}

// A process that starts again may hear of its holder and of its worker at once,
// before it has looked at what the worker runs.
BOOST_AUTO_TEST_CASE(a_runner_lists_nothing_before_it_has_looked) {
  RunnerNode node(RunnerPolicy(), 1);
  const ConnectionId connection(1);
  const std::vector<RunnerInput> inputs = {
      ConnectionOpened::Builder().connection(connection).Build(),
      RunnerMessageReceived::Builder()
          .connection(connection)
          .message(AttachRunner::Builder().epoch(1).session(1).Build())
          .Build(),
      WorkerSeen::Builder().facts(Life(1)).sequence(1).Build()};
  std::size_t reports = 0;
  for (const RunnerEffect& effect : node.RunTick(kFleetNow, inputs)) {
    const auto* sent = std::get_if<SendToHolder>(&effect);
    if (sent == nullptr) continue;
    const auto* report = std::get_if<WorkerReport>(&sent->message());
    if (report == nullptr) continue;
    ++reports;
    BOOST_TEST(!(report->whole() && report->facts().has_value()));
  }
  BOOST_TEST(reports == 1U);
}

// A worker that left and came back within one report is a new life.
BOOST_AUTO_TEST_CASE(a_report_of_an_end_and_a_new_life_keeps_the_new_life) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(Batch(2), 0);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .whole(true)
                      .worker_left(true)
                      .facts(Life(2))
                      .Build());
  const WorkerRow& worker =
      *fleet.tables().workers_.Find(PlacementFleet::Name(0));
  BOOST_REQUIRE(worker.facts().has_value());
  BOOST_TEST(worker.facts()->born_ms() == 2);
  BOOST_TEST(fleet.Waiting(job) == 2U);
}

// A worker lists only so many ends at once: a run that it lists neither as
// running nor as ended may be among the others.
BOOST_AUTO_TEST_CASE(a_run_that_may_have_ended_is_not_taken_for_lost) {
  NarrowRunner runner;
  RunnerTables& tables = runner.tables_;
  const RunKey run = Run(1, 0, 1);
  tables.runs_.Put(run.task(), HeldRun::Builder()
                                   .run(1)
                                   .stage(HeldStage::kRunning)
                                   .known(true)
                                   .confirmed_at(kFleetNow - seconds(2))
                                   .Build());
  const auto look = [&](bool more_ends) {
    RunnerTick tick(kFleetNow, runner.random_, tables.counters_);
    TakeHoldAnswer(HoldCall(), WorkerCall::Builder().sent_at(kFleetNow).Build(),
                   WorkerAnswer::Builder()
                       .verdict(WorkerVerdict::kDone)
                       .ends({Done(1, Run(7, 0, 1))})
                       .more_ends(more_ends)
                       .Build(),
                   tables, tick);
    return tables.refusals_.size();
  };
  BOOST_TEST(look(true) == 0U);
  BOOST_TEST(look(false) == 1U);
}

// The same for a new holder: nothing counts as never arrived.
BOOST_AUTO_TEST_CASE(a_list_with_more_ends_to_come_returns_no_task) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(Batch(2), 0);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  tables.workers_.Put(
      name,
      WorkerRow::Builder(*tables.workers_.Find(name)).reported(false).Build());
  const auto report = [&](bool more_ends) {
    fleet.Report(0, WorkerReport::Builder()
                        .whole(true)
                        .more_ends(more_ends)
                        .facts(Life(1))
                        .Build());
    return fleet.Waiting(job);
  };
  BOOST_TEST(report(true) == 0U);
  BOOST_TEST(report(false) == 2U);
}

// A worker lists an end again to a later holder, which may have loaded its
// effect from the store.
BOOST_AUTO_TEST_CASE(a_failure_that_is_listed_again_counts_once) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(Batch(2), 0);
  SchedulerTables& tables = fleet.tables();
  const TaskKey task = Run(job, 0, 2).task();
  tables.tasks_.Put(task, JobTask::Builder(*tables.tasks_.Find(task))
                              .run(2)
                              .failed_runs({1})
                              .Build());
  const auto fail = [&](std::int64_t number, std::int64_t run) {
    fleet.Report(0, WorkerReport::Builder()
                        .ends({RunEnd::Builder()
                                   .number(number)
                                   .run(Run(job, 0, run))
                                   .outcome(RunOutcome::kFailed)
                                   .Build()})
                        .Build());
    return tables.tasks_.Find(task)->failed_runs().size();
  };
  tables.jobs_.Put(job, JobRow::Builder(*tables.jobs_.Find(job))
                            .queue(JobQueue::Builder().max_attempts(3).Build())
                            .Build());
  BOOST_TEST(fail(1, 1) == 1U);
  BOOST_TEST(fail(2, 2) == 2U);
}

// Answers a steady stream of small ends: what a caller waits for is kept before
// progress, and no job waits behind those that change all the time.
BOOST_AUTO_TEST_CASE(a_finished_job_is_kept_before_the_progress_of_others) {
  constexpr std::uint64_t kBusy = 200;
  DirtyJobs dirty;
  for (std::uint64_t job = 1; job <= kBusy; ++job) {
    dirty.Add(job, DirtyKind::kProgress, kFleetNow);
  }
  dirty.Add(kBusy + 1, DirtyKind::kProgress, kFleetNow);
  dirty.Add(kBusy + 1, DirtyKind::kAwaited, kFleetNow + seconds(1));
  BOOST_TEST(dirty.entries().begin()->second == kBusy + 1);
  dirty.Erase(kBusy + 1);
  dirty.Erase(1);
  dirty.Add(1, DirtyKind::kProgress, kFleetNow + seconds(1));
  BOOST_TEST(dirty.entries().begin()->second == 2U);
  BOOST_TEST(dirty.entries().rbegin()->second == 1U);
  BOOST_TEST((dirty.DueAt(milliseconds(200)) == kFleetNow + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
