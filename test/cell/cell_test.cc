#include <boost/test/unit_test.hpp>

#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep Step(std::int32_t count, std::int64_t cpu, milliseconds time) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(100)
      .estimate(time)
      .Build();
}

JobDefinition TwoStepJob() {
  const JobStep second =
      JobStep::Builder(Step(3, 1000, milliseconds(400))).after({0}).Build();
  return JobDefinition::Builder()
      .spec("spec")
      .steps({Step(4, 1000, milliseconds(500)), second})
      .Build();
}

JobDefinition LongRunningJob() {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder(Step(3, 2000, milliseconds(400)))
                  .long_running(true)
                  .Build()})
      .Build();
}

// A cell of five agents and two entries that has elected its holder (the holder
// of the cell's leader lease). Reports every violated invariant at its end.
struct ReadyCell {
  explicit ReadyCell(std::uint64_t seed = 1) : cell_(5, 2, seed) {
    cell_.RunFor(seconds(3));
  }
  ~ReadyCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }
  VirtualCell cell_;
};

std::size_t RunningTasks(VirtualCell& cell) {
  std::size_t running = 0;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    running += cell.worker(i).running();
  }
  return running;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cells)

BOOST_AUTO_TEST_CASE(a_job_of_two_steps_runs_in_order_and_completes) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  BOOST_REQUIRE(cell.Holder().has_value());
  const std::uint64_t job = cell.Submit(TwoStepJob());
  cell.RunFor(milliseconds(200));
  BOOST_TEST(cell.IsAccepted(job));
  cell.RunFor(seconds(3));
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
  BOOST_TEST(cell.log().StartsOf(job) == 7);
}

BOOST_AUTO_TEST_CASE(a_repeated_submission_is_one_job) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(TwoStepJob());
  cell.Resubmit(job, 1);
  cell.RunFor(seconds(4));
  cell.Resubmit(job, 0);
  cell.RunFor(seconds(4));
  BOOST_TEST(cell.log().StartsOf(job) == 7);
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_stops_and_stays_cancelled) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  BOOST_TEST(RunningTasks(cell) == 3U);
  cell.Cancel(job);
  cell.RunFor(seconds(1));
  BOOST_TEST(RunningTasks(cell) == 0U);
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCancelled));
}

BOOST_AUTO_TEST_CASE(a_finished_job_is_reported_until_its_retention_ends) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(TwoStepJob());
  cell.RunFor(seconds(115));
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
  cell.RunFor(seconds(20));
  BOOST_TEST(cell.kv().Find(ProgressKey(job)) == nullptr);
  BOOST_TEST(cell.kv().Find(JobKey(job)) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_unknown_job_is_reported_as_not_found) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.QueryJob(42);
  cell.RunFor(milliseconds(200));
  BOOST_TEST(cell.IsReportedNotFound(42));
}

BOOST_AUTO_TEST_CASE(work_continues_when_the_holder_is_killed) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t service_job = cell.Submit(LongRunningJob());
  const std::uint64_t job = cell.Submit(TwoStepJob());
  cell.RunFor(milliseconds(300));
  const std::size_t holder = *cell.Holder();
  cell.KillAgent(holder);
  cell.RunFor(seconds(4));
  BOOST_REQUIRE(cell.Holder().has_value());
  BOOST_TEST(*cell.Holder() != holder);
  // The leases of the worker beside the killed agent expire; its tasks restart
  // elsewhere.
  cell.RunFor(seconds(8));
  BOOST_TEST(RunningTasks(cell) == 3U);
  cell.QueryJob(job);
  cell.QueryJob(service_job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
  BOOST_TEST((cell.StateOf(service_job) == JobState::kRunning));
}

BOOST_AUTO_TEST_CASE(tasks_keep_running_through_a_failover) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  const std::size_t holder = *cell.Holder();
  cell.KillAgent(holder);
  cell.RunFor(milliseconds(300));
  cell.StartAgent(holder);
  cell.RunFor(seconds(10));
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_TEST(cell.log().StartsOf(job) == 3);
}

BOOST_AUTO_TEST_CASE(work_continues_while_the_store_is_unavailable) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(TwoStepJob());
  cell.RunFor(milliseconds(100));
  cell.kv().SetUnavailable(true);
  cell.RunFor(seconds(3));
  // Both steps ran, although no completion could be stored.
  BOOST_TEST(cell.log().StartsOf(job) == 7);
  const std::uint64_t late = cell.Submit(TwoStepJob(), 1);
  cell.RunFor(seconds(3));
  BOOST_TEST(!cell.IsAccepted(late));
  cell.kv().SetUnavailable(false);
  cell.RunFor(seconds(4));
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(a_partitioned_holder_grants_no_more_leases) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  const std::size_t holder = *cell.Holder();
  cell.SetAgentPartitioned(holder, true, true);
  cell.RunFor(seconds(12));
  BOOST_REQUIRE(cell.Holder().has_value());
  BOOST_TEST(*cell.Holder() != holder);
  BOOST_TEST(cell.worker(holder).running() == 0U);
  BOOST_TEST(RunningTasks(cell) == 3U);
  cell.SetAgentPartitioned(holder, false, false);
  cell.RunFor(seconds(5));
  BOOST_TEST(RunningTasks(cell) == 3U);
}

BOOST_AUTO_TEST_CASE(a_holder_whose_lease_is_revoked_is_replaced) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  const std::size_t holder = *cell.Holder();
  cell.kv().RejectCaller("agent-" + std::to_string(holder), true);
  cell.kv().Revoke("cell/holder");
  cell.RunFor(seconds(2));
  BOOST_REQUIRE(cell.Holder().has_value());
  BOOST_TEST(*cell.Holder() != holder);
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_TEST(cell.log().starts() == 3);
}

BOOST_AUTO_TEST_CASE(tasks_of_a_crashed_worker_restart_once) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  std::size_t busy = 0;
  while (cell.worker(busy).running() == 0) ++busy;
  const auto lost = static_cast<std::int64_t>(cell.worker(busy).running());
  cell.worker(busy).Crash();
  cell.RunFor(milliseconds(500));
  cell.worker(busy).Restart();
  cell.RunFor(seconds(8));
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_TEST(cell.log().StartsOf(job) == 3 + lost);
}

// The runner stays alive and connected, so that only the missing heartbeats of
// the worker show the loss.
BOOST_AUTO_TEST_CASE(tasks_of_a_lost_worker_restart_elsewhere) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.Submit(LongRunningJob());
  cell.RunFor(seconds(2));
  BOOST_REQUIRE(RunningTasks(cell) == 3U);
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    if (cell.worker(i).running() == 0) continue;
    cell.worker(i).Crash();
    break;
  }
  BOOST_REQUIRE(RunningTasks(cell) < 3U);
  cell.RunFor(seconds(10));
  BOOST_TEST(RunningTasks(cell) == 3U);
}

// Every process is killed after a worker was lost for good. Its runner had
// reported the loss, so the store holds it; without that record the new holder
// would wait for the worker.
BOOST_AUTO_TEST_CASE(failover_does_not_wait_for_a_confirmed_lost_worker) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.Submit(LongRunningJob());
  cell.RunFor(seconds(2));
  cell.worker(1).Crash();
  cell.RunFor(seconds(12));
  BOOST_REQUIRE(cell.kv().Find(ConfirmedLostKey(MemberName("agent-1"))) !=
                nullptr);
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.KillAgent(i);
    if (i == 1) continue;
    cell.worker(i).Crash();
    cell.worker(i).Restart();
  }
  for (std::size_t i = 0; i < cell.agents(); ++i) cell.StartAgent(i);
  cell.RunFor(seconds(5));
  BOOST_TEST(RunningTasks(cell) == 3U);
  cell.worker(1).Restart();
  cell.RunFor(seconds(4));
  BOOST_TEST(
      (cell.kv().Find(ConfirmedLostKey(MemberName("agent-1"))) == nullptr));
}

BOOST_AUTO_TEST_CASE(a_command_executed_late_runs_nothing_twice) {
  ReadyCell ready(7);
  VirtualCell& cell = ready.cell_;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetLatePercent(30);
  }
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(cell.Submit(TwoStepJob()));
    cell.RunFor(milliseconds(500));
  }
  cell.RunFor(seconds(20));
  for (const std::uint64_t job : jobs) {
    cell.QueryJob(job);
    cell.RunFor(milliseconds(100));
    BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
  }
}

BOOST_AUTO_TEST_CASE(a_job_without_attempts_left_is_reported_as_failed) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(100);
  }
  const std::uint64_t job =
      cell.Submit(JobDefinition::Builder()
                      .spec("spec")
                      .steps({Step(1, 500, milliseconds(100))})
                      .Build());
  cell.RunFor(seconds(10));
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kFailed));
  BOOST_TEST(cell.log().StartsOf(job) == 3);
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_every_task_fails_no_job) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.worker(0).SetFailPercent(100);
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 5; ++i) jobs.push_back(cell.Submit(TwoStepJob()));
  cell.RunFor(seconds(10));
  for (const std::uint64_t job : jobs) cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  for (const std::uint64_t job : jobs) {
    BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
  }
}

// All tasks of one job fail on the only worker. A long-running service must
// start there all the same, or it would have nowhere to run. A worker that is
// quarantined is in liveness/long_running_tasks_use_a_quarantined_worker_last.
BOOST_AUTO_TEST_CASE(a_quarantined_worker_still_gets_long_running_tasks) {
  VirtualCell cell(1, 1, 3);
  cell.RunFor(seconds(3));
  const std::uint64_t failing =
      cell.Submit(JobDefinition::Builder()
                      .spec("spec")
                      .steps({Step(8, 500, milliseconds(100))})
                      .Build());
  cell.worker(0).SetFailPercent(100);
  cell.RunFor(seconds(1));
  // The only worker still takes long-running tasks.
  const std::uint64_t service_job = cell.Submit(LongRunningJob());
  cell.RunFor(seconds(1));
  BOOST_TEST(cell.log().StartsOf(failing) >= 8);
  BOOST_TEST(cell.log().StartsOf(service_job) == 3);
}

BOOST_AUTO_TEST_CASE(an_occurrence_starts_when_it_is_due) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::int64_t now_ms =
      std::chrono::duration_cast<milliseconds>(cell.now().time_since_epoch())
          .count();
  const std::uint64_t job =
      cell.Submit(JobDefinition::Builder()
                      .spec("spec")
                      .steps({Step(2, 500, milliseconds(200))})
                      .repeat_count(2)
                      .first_due_ms(now_ms + 2000)
                      .interval_ms(2000)
                      .Build());
  cell.RunFor(milliseconds(1900));
  BOOST_TEST(cell.log().StartsOf(job) == 0);
  cell.RunFor(milliseconds(500));
  BOOST_TEST(cell.log().StartsOf(job) == 2);
  cell.RunFor(milliseconds(1400));
  BOOST_TEST(cell.log().StartsOf(job) == 2);
  cell.RunFor(milliseconds(1000));
  BOOST_TEST(cell.log().StartsOf(job) == 4);
}

BOOST_AUTO_TEST_CASE(a_gang_starts_whole_or_not_at_all) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const auto gang = [](std::int32_t count) {
    return JobDefinition::Builder()
        .spec("spec")
        .steps({JobStep::Builder(Step(count, 8000, milliseconds(500)))
                    .gang(true)
                    .Build()})
        .Build();
  };
  // Five workers hold two tasks each: eleven never fit together.
  const std::uint64_t wide = cell.Submit(gang(11));
  const std::uint64_t fits = cell.Submit(gang(8));
  cell.RunFor(milliseconds(600));
  BOOST_TEST(cell.log().StartsOf(wide) == 0);
  BOOST_TEST(cell.log().StartsOf(fits) == 8);
}

BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_new_work) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.worker(0).SetDraining(true);
  cell.RunFor(seconds(2));
  for (int i = 0; i < 4; ++i) cell.Submit(TwoStepJob());
  cell.RunFor(milliseconds(400));
  BOOST_TEST(cell.worker(0).running() == 0U);
  BOOST_TEST(RunningTasks(cell) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
