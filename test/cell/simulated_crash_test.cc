#include <boost/test/unit_test.hpp>

#include "support/virtual_cell.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TaskKey TaskOf(std::uint64_t job, std::int32_t index = 0) {
  return TaskKey::Builder().job(job).index(index).Build();
}

JobDefinition Job(std::int32_t count, milliseconds time) {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder()
                  .count(count)
                  .cpu(1000)
                  .memory_mb(100)
                  .estimate(time)
                  .Build()})
      .Build();
}

// A cell of one worker that has elected its holder.
struct OneWorkerCell {
  OneWorkerCell() : cell_(1, 1, 1) { cell_.RunFor(seconds(3)); }

  VirtualCell cell_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(simulated_crashes)

// Guards against a simulation in which a crash spares the runs beside the task
// that causes it, or keeps the incarnation.
BOOST_AUTO_TEST_CASE(a_task_crashes_its_worker_with_all_runs) {
  OneWorkerCell fixture;
  VirtualCell& cell = fixture.cell_;
  const std::int64_t born_ms = cell.worker(0).born_ms();
  const std::uint64_t beside = cell.Submit(Job(1, seconds(30)));
  cell.RunFor(seconds(1));
  BOOST_TEST(cell.worker(0).running() == 1U);
  const std::uint64_t job = cell.Submit(Job(1, seconds(1)));
  cell.SetTaskCrash(TaskOf(job),
                    TaskCrash::Builder().downtime(seconds(2)).Build());
  cell.RunFor(seconds(1));
  BOOST_TEST(!cell.worker(0).alive());
  BOOST_TEST(cell.worker(0).running() == 0U);
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(job)) == 1);
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(beside)) == 0);
  cell.Cancel(job);
  cell.RunFor(seconds(5));
  BOOST_TEST(cell.worker(0).alive());
  BOOST_TEST(cell.worker(0).born_ms() > born_ms);
  cell.RunFor(seconds(40));
  BOOST_TEST(cell.log().IsDone(TaskOf(beside)));
  BOOST_TEST(cell.log().violations().empty());
}

// Guards against a simulation in which a task always crashes its worker before
// it has worked, or although it has ended.
BOOST_AUTO_TEST_CASE(a_task_crashes_its_worker_after_some_work) {
  OneWorkerCell fixture;
  VirtualCell& cell = fixture.cell_;
  const std::uint64_t ends = cell.Submit(Job(1, milliseconds(500)));
  cell.SetTaskCrash(TaskOf(ends),
                    TaskCrash::Builder().after(milliseconds(800)).Build());
  cell.RunFor(seconds(3));
  BOOST_TEST(cell.log().IsDone(TaskOf(ends)));
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(ends)) == 0);
  const std::uint64_t crashes = cell.Submit(Job(1, seconds(5)));
  cell.SetTaskCrash(TaskOf(crashes),
                    TaskCrash::Builder().after(milliseconds(800)).Build());
  cell.RunFor(milliseconds(700));
  BOOST_TEST(cell.worker(0).running() == 1U);
  cell.RunFor(milliseconds(600));
  BOOST_TEST(cell.log().CrashesCausedBy(TaskOf(crashes)) == 1);
}

// Guards against a simulation in which each start of a task crashes its worker,
// so that work which succeeds at last is never seen.
BOOST_AUTO_TEST_CASE(only_some_starts_crash_the_worker) {
  OneWorkerCell fixture;
  VirtualCell& cell = fixture.cell_;
  const std::uint64_t job = cell.Submit(Job(20, milliseconds(100)));
  for (std::int32_t index = 0; index < 20; ++index) {
    cell.SetTaskCrash(
        TaskOf(job, index),
        TaskCrash::Builder().percent(20).downtime(milliseconds(500)).Build());
  }
  cell.RunFor(seconds(60));
  std::int32_t crashes = 0;
  std::int32_t done = 0;
  for (std::int32_t index = 0; index < 20; ++index) {
    crashes += cell.log().CrashesCausedBy(TaskOf(job, index));
    done += cell.log().IsDone(TaskOf(job, index)) ? 1 : 0;
  }
  BOOST_TEST(crashes > 0);
  BOOST_TEST(done > 0);
}

// Guards against a worker that is gone for good and returns from an earlier
// crash.
BOOST_AUTO_TEST_CASE(a_worker_that_crashes_again_does_not_return) {
  OneWorkerCell fixture;
  fixture.cell_.worker(0).CrashFor(seconds(2));
  fixture.cell_.RunFor(seconds(1));
  fixture.cell_.worker(0).Crash();
  fixture.cell_.RunFor(seconds(5));
  BOOST_TEST(!fixture.cell_.worker(0).alive());
}

BOOST_AUTO_TEST_SUITE_END()

// The limit of starts of a task that crashes workers, as the log checks it.
BOOST_AUTO_TEST_SUITE(crash_limits)

namespace {

RunKey RunOf(std::uint64_t job, std::int64_t run) {
  return RunKey::Builder().task(TaskOf(job)).run(run).Build();
}

// Starts a run that crashes its worker.
void CrashOnce(JobInvariantLog& log, const RunKey& run) {
  log.Started(run, "worker", false, Instant());
  log.CrashCaused(run);
  log.WorkerCrashed(run);
  log.Ended(run, "worker", RunOutcome::kLapsed, Instant());
}

}  // namespace

// Guards against a check that lets a task crash one worker after the other, or
// that counts starts which the worker executed late.
BOOST_AUTO_TEST_CASE(the_third_start_after_three_crashes_is_a_violation) {
  JobInvariantLog log;
  log.Submitted(1, Job(1, seconds(1)));
  log.CrashesWorkers(TaskOf(1));
  for (std::int64_t run = 1; run <= 5; ++run) CrashOnce(log, RunOf(1, run));
  log.Started(RunOf(1, 6), "worker", true, Instant());
  log.Ended(RunOf(1, 6), "worker", RunOutcome::kLapsed, Instant());
  BOOST_TEST(log.violations().empty());
  CrashOnce(log, RunOf(1, 7));
  BOOST_TEST(log.violations().size() == 1U);
}

// Guards against a check that lets innocent work, or work under which fewer
// than two workers have crashed, be given up.
BOOST_AUTO_TEST_CASE(only_a_task_that_crashes_workers_is_given_up) {
  JobInvariantLog log;
  log.Submitted(1, Job(1, seconds(1)));
  log.CrashesWorkers(TaskOf(1));
  CrashOnce(log, RunOf(1, 1));
  log.Failed(1);
  BOOST_TEST(log.violations().size() == 1U);
  CrashOnce(log, RunOf(1, 2));
  log.Failed(1);
  BOOST_TEST(log.violations().size() == 1U);
  log.Submitted(2, Job(1, seconds(1)));
  for (std::int64_t run = 1; run <= 4; ++run) {
    log.Started(RunOf(2, run), "worker", false, Instant());
    log.WorkerCrashed(RunOf(2, run));
    log.Ended(RunOf(2, run), "worker", RunOutcome::kLapsed, Instant());
  }
  log.Failed(2);
  BOOST_TEST(log.violations().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
