#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/decision_lines.h"
#include "support/placement_fleet.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nine tasks of this size fill a worker.
JobStep BestEffortStep(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(7000)
      .memory_mb(1000)
      .estimate(seconds(2))
      .image("batch")
      .fills(true)
      .Build();
}

JobStep WholeWorkerStep() {
  return JobStep::Builder()
      .count(1)
      .cpu(kFleetMillicores)
      .memory_mb(1000)
      .Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(idle_reasons)

// The line said for how long the job had run nothing, which begins anew with
// the end of each of its tasks, and not for how long its next task had waited.
BOOST_AUTO_TEST_CASE(a_task_that_waits_through_the_runs_of_others_shows_it) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  const std::uint64_t job = fleet.AddJob(
      JobStep::Builder(WholeWorkerStep()).count(2).Build(), seconds(6));
  fleet.tables().jobs_.Put(
      job,
      JobRow::Builder(*fleet.tables().jobs_.Find(job)).began(true).Build());
  fleet.Place();
  fleet.Advance(milliseconds(1500));
  const auto lines = LinesOf(fleet.PlaceAndTakeEffects(), "job-idle");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(FieldOf(lines[0], "idle_ms") == "1500");
  BOOST_TEST(FieldOf(lines[0], "ready_ms") == "7500");
}

// Depth before breadth, many tasks of few jobs while others run nothing, could
// not be told from a full cell.
BOOST_AUTO_TEST_CASE(what_the_other_jobs_run_is_shown_beside_an_idle_one) {
  PlacementFleet fleet(1);
  fleet.AddRunning(BestEffortStep(8), 0);
  fleet.AddRunning(BestEffortStep(1), 0);
  fleet.AddJob(BestEffortStep(1));
  const std::uint64_t job = fleet.AddJob(BestEffortStep(1), seconds(1));
  const auto lines = LinesOf(fleet.PlaceAndTakeEffects(), "job-idle");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0].job() == job);
  BOOST_TEST(FieldOf(lines[0], "other_jobs_running") == "2");
  BOOST_TEST(FieldOf(lines[0], "other_jobs_tasks") == "9");
  BOOST_TEST(FieldOf(lines[0], "most_of_one_job") == "8");
}

// A worker that lacks memory and one on which only best-effort CPU is in the
// way, which the platform calls free, were counted alike.
BOOST_AUTO_TEST_CASE(
    workers_that_are_free_by_the_platforms_account_are_counted) {
  PlacementFleet fleet(3);
  fleet.AddRunning(BestEffortStep(9), 0);
  fleet.AddRunning(JobStep::Builder(BestEffortStep(9)).Build(), 1);
  fleet.AddRunning(
      JobStep::Builder(BestEffortStep(1)).memory_mb(249'500).Build(), 2);
  fleet.AddJob(BestEffortStep(1), seconds(1));
  const auto lines = LinesOf(fleet.PlaceAndTakeEffects(), "job-idle");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(FieldOf(lines[0], "no_room") == "3");
  BOOST_TEST(FieldOf(lines[0], "full_of_best_effort") == "2");
  BOOST_TEST(FieldOf(lines[0], "starved") == "0");
}

// A starved job that finds no worker at twice the CPU is beyond the bound on
// overcommitted CPU, not before it.
BOOST_AUTO_TEST_CASE(a_starved_job_is_shown_as_such) {
  PlacementFleet fleet(1);
  fleet.AddRunning(BestEffortStep(18), 0);
  fleet.AddJob(BestEffortStep(1), seconds(5));
  const auto lines = LinesOf(fleet.PlaceAndTakeEffects(), "job-idle");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(FieldOf(lines[0], "starved") == "1");
  BOOST_TEST(FieldOf(lines[0], "full_of_best_effort") == "1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
