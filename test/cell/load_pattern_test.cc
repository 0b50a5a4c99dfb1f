#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "systems/runner/set_pace.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/make_room.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = kFleetNow;

JobStep Serving(std::int32_t count, std::int64_t cpu,
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

JobStep Filling(std::int32_t count, const std::string& image) {
  return JobStep::Builder()
      .count(count)
      .cpu(7000)
      .memory_mb(1000)
      .estimate(seconds(2))
      .image(image)
      .fills(true)
      .Build();
}

JobStep Urgent(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(1000)
      .memory_mb(100)
      .estimate(milliseconds(600))
      .Build();
}

// A runner with one task that serves and one that fills.
RunnerTables MixedRunner(std::int64_t tail_ms) {
  RunnerTables tables;
  tables.facts_ = WorkerFacts::Builder().worker("worker").Build();
  tables.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
  const auto add = [&](std::int32_t index, const StartRun& order,
                       std::int64_t figure) {
    tables.runs_.Put(TaskKey::Builder().job(1).index(index).Build(),
                     HeldRun::Builder()
                         .run(1)
                         .stage(HeldStage::kRunning)
                         .order(order)
                         .figure(figure)
                         .Build());
  };
  add(0, StartRun::Builder().target(milliseconds(100)).Build(), tail_ms);
  add(1, StartRun::Builder().fills(true).cpu(7000).Build(), 7000);
  return tables;
}

std::vector<std::int32_t> PacesSet(RunnerTables& tables, Instant now) {
  Random random(1);
  RunnerTick tick(now, random, tables.counters_);
  SetPace(tables, tick);
  std::vector<std::int32_t> paces;
  for (const RunnerEffect& effect : tick.TakeEffects()) {
    if (const auto* pace = std::get_if<WorkerPace>(&effect)) {
      paces.push_back(pace->percent());
    }
  }
  return paces;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_patterns)

BOOST_AUTO_TEST_CASE(noisy_neighbours_are_kept_off_workers_that_serve) {
  PlacementFleet fleet(3);
  fleet.AddRunning(Serving(1, 13'000, "serving"), 0);
  fleet.AddJob(Filling(8, "loud"));
  fleet.Place();
  BOOST_TEST(fleet.OnWorker(0) == 1U);
  BOOST_TEST(fleet.OnWorker(1) + fleet.OnWorker(2) == 8U);
}

BOOST_AUTO_TEST_CASE(an_image_learnt_as_loud_does_not_join_what_it_disturbs) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Serving(1, 13'000, "serving"), 0);
  fleet.Observe(0, "loud", 7000, "serving", 400);
  const std::uint64_t job = fleet.AddJob(Filling(2, "loud"));
  fleet.AddRunning(Serving(2, 13'000, "other"), 0);
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 2U);
}

BOOST_AUTO_TEST_CASE(an_image_learnt_as_quiet_fills_beside_what_serves) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Serving(3, 13'000, "serving"), 0);
  for (int i = 0; i < 20; ++i) fleet.Observe(0, "quiet", 20'000, "serving", 50);
  const std::uint64_t job = fleet.AddJob(Filling(4, "quiet"));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

BOOST_AUTO_TEST_CASE(what_is_unknown_is_tried_one_task_at_a_time) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Serving(3, 13'000, "serving"), 0);
  const std::uint64_t job = fleet.AddJob(Filling(4, "unknown"));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 3U);
}

BOOST_AUTO_TEST_CASE(a_task_goes_elsewhere_after_a_failure) {
  PlacementFleet fleet(2);
  fleet.AddRunning(Urgent(4), 1);
  const std::uint64_t job = fleet.AddJob(Urgent(1));
  const TaskKey key = TaskKey::Builder().job(job).Build();
  fleet.tables().tasks_.Put(key,
                            JobTask::Builder(*fleet.tables().tasks_.Find(key))
                                .run(1)
                                .failed_runs({1})
                                .worker(PlacementFleet::Name(0))
                                .Build());
  fleet.Place();
  BOOST_TEST(fleet.OnWorker(0) == 0U);
  BOOST_TEST(fleet.OnWorker(1) == 5U);
}

BOOST_AUTO_TEST_CASE(tasks_that_serve_are_packed_on_few_workers) {
  PlacementFleet fleet(4);
  fleet.AddJob(Serving(4, 13'000, "serving"));
  fleet.Place();
  std::size_t used = 0;
  for (int i = 0; i < 4; ++i) used += fleet.OnWorker(i) > 0 ? 1 : 0;
  BOOST_TEST(used == 1U);
}

BOOST_AUTO_TEST_CASE(a_burst_on_full_workers_takes_a_lasting_tasks_place) {
  PlacementFleet fleet(1);
  for (int i = 0; i < 4; ++i) fleet.AddRunning(Serving(1, 16'000, "a"), 0);
  fleet.AddJob(Urgent(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLasting) == 1U);
  // The next one only after that room has come into use.
  BOOST_TEST(fleet.CountStopCommands(PreemptLasting) == 0U);
}

BOOST_AUTO_TEST_CASE(urgent_work_with_room_stops_nothing) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Serving(1, 16'000, "a"), 0);
  fleet.AddJob(Urgent(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLasting) == 0U);
}

BOOST_AUTO_TEST_CASE(fragments_of_what_serves_are_brought_together) {
  PlacementFleet fleet(2);
  fleet.AddRunning(Serving(2, 13'000, "a"), 0);
  fleet.AddRunning(Serving(1, 10'000, "b"), 1);
  fleet.Observe(0, "loud", 7000, "a", 400);
  fleet.Observe(1, "loud", 7000, "b", 400);
  const std::uint64_t job = fleet.AddJob(Filling(4, "loud"), seconds(1));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 4U);
  BOOST_TEST(fleet.CountStopCommands(ConsolidateServing) == 1U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_was_cleared_is_kept_clear) {
  PlacementFleet fleet(2);
  fleet.AddRunning(Serving(1, 13'000, "a"), 0);
  const std::uint64_t moved = fleet.AddRunning(Serving(1, 10'000, "b"), 1);
  fleet.Observe(0, "loud", 7000, "a", 400);
  fleet.Observe(1, "loud", 7000, "b", 400);
  fleet.AddJob(Filling(4, "loud"), seconds(1));
  BOOST_REQUIRE(fleet.CountStopCommands(ConsolidateServing) == 1U);
  const TaskKey task = TaskKey::Builder().job(moved).Build();
  JobTaskTable& tasks = fleet.tables().tasks_;
  tasks.Put(task, JobTask::Builder(*tasks.Find(task))
                      .stage(TaskStage::kReady)
                      .stopping(false)
                      .Build());
  fleet.Place();
  BOOST_TEST((tasks.Find(task)->worker() == PlacementFleet::Name(0)));
}

BOOST_AUTO_TEST_CASE(a_step_that_bounds_its_misses_is_not_moved) {
  PlacementFleet fleet(1);
  for (int i = 0; i < 4; ++i) {
    fleet.AddRunning(
        JobStep::Builder(Serving(1, 16'000, "a")).may_miss(1).Build(), 0);
  }
  fleet.AddJob(Urgent(6), milliseconds(400));
  fleet.Place();
  BOOST_TEST(fleet.CountStopCommands(PreemptLasting) == 0U);
}

BOOST_AUTO_TEST_CASE(a_tail_far_over_its_target_stops_what_fills_at_once) {
  RunnerTables tables = MixedRunner(200);
  BOOST_TEST(PacesSet(tables, kNow) == std::vector<std::int32_t>{0},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(what_fills_goes_on_by_steps_once_tails_allow_it) {
  RunnerTables tables = MixedRunner(40);
  tables.fill_pace_ = 0;
  std::vector<std::int32_t> paces;
  for (int i = 0; i < 4; ++i) {
    for (const std::int32_t pace : PacesSet(tables, kNow + i * seconds(1))) {
      paces.push_back(pace);
    }
  }
  BOOST_TEST(paces == (std::vector<std::int32_t>{34, 68, 100}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_good_tail_leaves_what_fills_alone) {
  RunnerTables tables = MixedRunner(40);
  BOOST_TEST(PacesSet(tables, kNow).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
