#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/throttle_best_effort_tasks.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/reclaim_capacity.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = kFleetNow;

JobStep ServiceStep(std::int32_t count, std::int64_t cpu,
                    const std::string& image) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(1000)
      .long_running(true)
      .image(image)
      .target(milliseconds(100))
      .Build();
}

JobStep BestEffortStep(std::int32_t count, const std::string& image) {
  return JobStep::Builder()
      .count(count)
      .cpu(7000)
      .memory_mb(1000)
      .estimate(seconds(2))
      .image(image)
      .fills(true)
      .Build();
}

JobStep UrgentStep(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(1000)
      .memory_mb(100)
      .estimate(milliseconds(600))
      .Build();
}

// A runner with a long-running task, whose tail latency is tail_ms and whose
// target is 100 ms, and a best-effort task of seven cores.
RunnerTables MixedLoadRunner(std::int64_t tail_ms) {
  RunnerTables tables;
  tables.facts_ = WorkerDescription::Builder().worker("worker").Build();
  tables.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
  const auto add = [&](std::int32_t index, const StartRun& order,
                       std::int64_t figure) {
    tables.runs_.Put(TaskKey::Builder().job(1).index(index).Build(),
                     TrackedRun::Builder()
                         .run(1)
                         .stage(TrackedRunStage::kRunning)
                         .order(order)
                         .figure(figure)
                         .Build());
  };
  add(0, StartRun::Builder().target(milliseconds(100)).Build(), tail_ms);
  add(1, StartRun::Builder().fills(true).cpu(7000).Build(), 7000);
  return tables;
}

std::vector<std::int32_t> SentCpuLimits(RunnerTables& tables, Instant now) {
  Random random(1);
  RunnerTick tick(now, random, tables.counters_);
  ThrottleBestEffortTasks(tables, tick);
  SendCommands(tables, tick);
  std::vector<std::int32_t> cpu_limits;
  for (const RunnerEffect& effect : tick.TakeEffects()) {
    if (const auto* cpu_limit = std::get_if<WorkerThrottle>(&effect)) {
      cpu_limits.push_back(cpu_limit->percent());
    }
  }
  return cpu_limits;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_patterns)

BOOST_AUTO_TEST_CASE(noisy_neighbours_avoid_workers_with_services) {
  PlacementFleet fleet(3);
  fleet.AddRunning(ServiceStep(1, 13'000, "serving"), 0);
  fleet.AddJob(BestEffortStep(8, "noisy"));
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 1U);
  BOOST_TEST(fleet.TasksOnWorker(1) + fleet.TasksOnWorker(2) == 8U);
}

BOOST_AUTO_TEST_CASE(a_noisy_image_is_not_placed_beside_a_service_it_disturbs) {
  PlacementFleet fleet(1);
  fleet.AddRunning(ServiceStep(1, 13'000, "serving"), 0);
  fleet.Observe(0, "noisy", 7000, "serving", 400);
  const std::uint64_t job = fleet.AddJob(BestEffortStep(2, "noisy"));
  fleet.AddRunning(ServiceStep(2, 13'000, "other"), 0);
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 2U);
}

BOOST_AUTO_TEST_CASE(a_harmless_image_is_placed_beside_services) {
  PlacementFleet fleet(1);
  fleet.AddRunning(ServiceStep(3, 13'000, "serving"), 0);
  for (int i = 0; i < 20; ++i)
    fleet.Observe(0, "harmless", 20'000, "serving", 50);
  const std::uint64_t job = fleet.AddJob(BestEffortStep(4, "harmless"));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

BOOST_AUTO_TEST_CASE(an_unknown_image_is_tried_one_task_at_a_time) {
  PlacementFleet fleet(1);
  fleet.AddRunning(ServiceStep(3, 13'000, "serving"), 0);
  const std::uint64_t job = fleet.AddJob(BestEffortStep(4, "unknown"));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 3U);
}

BOOST_AUTO_TEST_CASE(a_failed_task_is_retried_on_another_worker) {
  PlacementFleet fleet(2);
  fleet.AddRunning(UrgentStep(4), 1);
  const std::uint64_t job = fleet.AddJob(UrgentStep(1));
  const TaskKey key = TaskKey::Builder().job(job).Build();
  fleet.tables().tasks_.Put(key,
                            JobTask::Builder(*fleet.tables().tasks_.Find(key))
                                .run(1)
                                .failed_runs({1})
                                .worker(PlacementFleet::Name(0))
                                .Build());
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 0U);
  BOOST_TEST(fleet.TasksOnWorker(1) == 5U);
}

BOOST_AUTO_TEST_CASE(long_running_tasks_are_packed_on_few_workers) {
  PlacementFleet fleet(4);
  fleet.AddJob(ServiceStep(4, 13'000, "serving"));
  fleet.Place();
  std::size_t used = 0;
  for (int i = 0; i < 4; ++i) used += fleet.TasksOnWorker(i) > 0 ? 1 : 0;
  BOOST_TEST(used == 1U);
}

BOOST_AUTO_TEST_CASE(a_burst_on_full_workers_preempts_a_long_running_task) {
  PlacementFleet fleet(1);
  for (int i = 0; i < 4; ++i) fleet.AddRunning(ServiceStep(1, 16'000, "a"), 0);
  fleet.AddJob(UrgentStep(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLongRunning) == 1U);
  // The next preemption waits until the freed capacity is in use.
  BOOST_TEST(fleet.CountStopCommands(PreemptLongRunning) == 0U);
}

BOOST_AUTO_TEST_CASE(urgent_work_with_free_capacity_preempts_nothing) {
  PlacementFleet fleet(1);
  fleet.AddRunning(ServiceStep(1, 16'000, "a"), 0);
  fleet.AddJob(UrgentStep(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLongRunning) == 0U);
}

BOOST_AUTO_TEST_CASE(scattered_services_are_consolidated) {
  PlacementFleet fleet(2);
  fleet.AddRunning(ServiceStep(2, 13'000, "a"), 0);
  fleet.AddRunning(ServiceStep(1, 10'000, "b"), 1);
  fleet.Observe(0, "noisy", 7000, "a", 400);
  fleet.Observe(1, "noisy", 7000, "b", 400);
  const std::uint64_t job =
      fleet.AddJob(BestEffortStep(4, "noisy"), seconds(1));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 4U);
  BOOST_TEST(fleet.CountStopCommands(ConsolidateServices) == 1U);
}

// A service was stopped to clear its worker of services. Placement must not put
// it back there, or the two decisions would undo each other.
BOOST_AUTO_TEST_CASE(a_consolidated_service_does_not_return_to_its_old_worker) {
  PlacementFleet fleet(2);
  fleet.AddRunning(ServiceStep(1, 13'000, "a"), 0);
  const std::uint64_t moved = fleet.AddRunning(ServiceStep(1, 10'000, "b"), 1);
  fleet.Observe(0, "noisy", 7000, "a", 400);
  fleet.Observe(1, "noisy", 7000, "b", 400);
  fleet.AddJob(BestEffortStep(4, "noisy"), seconds(1));
  BOOST_REQUIRE(fleet.CountStopCommands(ConsolidateServices) == 1U);
  const TaskKey task = TaskKey::Builder().job(moved).Build();
  JobTaskTable& tasks = fleet.tables().tasks_;
  tasks.Put(task, JobTask::Builder(*tasks.Find(task))
                      .stage(TaskStage::kReady)
                      .stopping(false)
                      .Build());
  fleet.Place();
  BOOST_TEST((tasks.Find(task)->worker() == PlacementFleet::Name(0)));
}

BOOST_AUTO_TEST_CASE(a_step_with_a_miss_limit_is_not_preempted) {
  PlacementFleet fleet(1);
  for (int i = 0; i < 4; ++i) {
    fleet.AddRunning(
        JobStep::Builder(ServiceStep(1, 16'000, "a")).may_miss(1).Build(), 0);
  }
  fleet.AddJob(UrgentStep(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLongRunning) == 0U);
}

BOOST_AUTO_TEST_CASE(only_as_much_is_preempted_as_makes_room) {
  const JobStep large = JobStep::Builder(UrgentStep(1)).cpu(30'000).Build();
  PlacementFleet even(1);
  for (int i = 0; i < 4; ++i) even.AddRunning(ServiceStep(1, 16'000, "a"), 0);
  even.AddJob(large, milliseconds(400));
  BOOST_TEST(even.CountStopCommands(PreemptLongRunning) == 2U);
  PlacementFleet uneven(1);
  uneven.AddRunning(ServiceStep(1, 24'000, "a"), 0);
  uneven.AddRunning(ServiceStep(1, 40'000, "a"), 0);
  uneven.AddJob(large, milliseconds(400));
  BOOST_TEST(uneven.CountStopCommands(PreemptLongRunning) == 1U);
}

BOOST_AUTO_TEST_CASE(a_gang_preempts_only_if_it_fits_as_a_whole) {
  const auto stops_for = [](std::int64_t cpu) {
    PlacementFleet fleet(2);
    fleet.AddRunning(ServiceStep(1, 64'000, "a"), 0);
    fleet.AddRunning(
        JobStep::Builder(ServiceStep(1, 64'000, "b")).may_miss(1).Build(), 1);
    fleet.AddJob(JobStep::Builder(UrgentStep(2)).cpu(cpu).gang(true).Build(),
                 milliseconds(400));
    return fleet.CountStopCommands(PreemptLongRunning);
  };
  BOOST_TEST(stops_for(32'000) == 1U);
  BOOST_TEST(stops_for(33'000) == 0U);
}

// Stopping tasks on a worker that cannot run the waiting task makes no room.
BOOST_AUTO_TEST_CASE(only_workers_that_suit_a_waiting_task_are_preempted) {
  const auto stops_on = [](const std::string& service, const std::string& label,
                           Duration quarantine) {
    PlacementFleet fleet(1);
    fleet.AddRunning(ServiceStep(1, kFleetMillicores, "a"), 0);
    const MemberName name = PlacementFleet::Name(0);
    const WorkerRow row = *fleet.tables().workers_.Find(name);
    fleet.tables().workers_.Put(
        name, WorkerRow::Builder(row)
                  .facts(WorkerDescription::Builder(*row.facts())
                             .service(ServiceName(service))
                             .labels({label})
                             .Build())
                  .rests_until(kNow + quarantine)
                  .Build());
    fleet.AddJob(
        JobStep::Builder(UrgentStep(1)).required_label("label").Build(),
        milliseconds(400));
    return fleet.CountStopCommands(PreemptLongRunning);
  };
  BOOST_TEST(stops_on("service", "label", seconds(0)) == 1U);
  BOOST_TEST(stops_on("other", "label", seconds(0)) == 0U);
  BOOST_TEST(stops_on("service", "other", seconds(0)) == 0U);
  BOOST_TEST(stops_on("service", "label", seconds(2)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_tail_far_above_target_stops_best_effort_tasks_at_once) {
  RunnerTables tables = MixedLoadRunner(200);
  BOOST_TEST(SentCpuLimits(tables, kNow) == std::vector<std::int32_t>{0},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(best_effort_tasks_resume_in_steps_below_the_target) {
  RunnerTables tables = MixedLoadRunner(40);
  tables.fill_pace_ = 0;
  std::vector<std::int32_t> cpu_limits;
  for (int i = 0; i < 4; ++i) {
    for (const std::int32_t cpu_limit :
         SentCpuLimits(tables, kNow + i * seconds(1))) {
      cpu_limits.push_back(cpu_limit);
    }
  }
  BOOST_TEST(cpu_limits == (std::vector<std::int32_t>{34, 68, 100}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_tail_below_target_throttles_nothing) {
  RunnerTables tables = MixedLoadRunner(40);
  BOOST_TEST(SentCpuLimits(tables, kNow).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
