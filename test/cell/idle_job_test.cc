#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "systems/scheduler/measure_cell.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep WholeWorkerStep() {
  return JobStep::Builder()
      .count(1)
      .cpu(kFleetMillicores)
      .memory_mb(1000)
      .Build();
}

std::int64_t GaugeOf(const SchedulerTables& tables, const std::string& name) {
  for (const Gauge& gauge : MeasureCell(tables)) {
    if (gauge.name() == name) return gauge.value();
  }
  return -1;
}

std::vector<LogDecision> LinesOf(const std::vector<SchedulerEffect>& effects,
                                 const std::string& event) {
  std::vector<LogDecision> lines;
  for (const SchedulerEffect& effect : effects) {
    const auto* line = std::get_if<LogDecision>(&effect);
    if (line != nullptr && line->event() == event) lines.push_back(*line);
  }
  return lines;
}

std::string FieldOf(const LogDecision& line, const std::string& name) {
  for (const LogField& field : line.fields()) {
    if (field.name() == name) return field.value();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(idle_jobs)

// A job without a running task was named in no log line and no metric while
// other steps waited before it.
BOOST_AUTO_TEST_CASE(a_job_without_a_running_task_is_shown_with_its_reasons) {
  PlacementFleet fleet(2);
  fleet.AddRunning(WholeWorkerStep(), 0);
  fleet.tables().orphaned_runs_[PlacementFleet::Name(1)].insert(RunKey());
  fleet.AddJob(WholeWorkerStep());
  const std::uint64_t idle = fleet.AddJob(WholeWorkerStep(), seconds(5));
  const auto lines = LinesOf(fleet.PlaceAndTakeEffects(), "job-idle");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0].job() == idle);
  BOOST_TEST(FieldOf(lines[0], "idle_ms") == "5000");
  BOOST_TEST(FieldOf(lines[0], "no_room") == "1");
  BOOST_TEST(FieldOf(lines[0], "orphaned_runs") == "1");
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_jobs_idle") == 2);
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_longest_idle_ms") == 5000);
}

// A job that has a task running is not idle, however long its others wait. It
// is from when that task has ended.
BOOST_AUTO_TEST_CASE(a_job_is_idle_from_the_end_of_its_last_run) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  JobTaskTable& tasks = fleet.tables().tasks_;
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(WholeWorkerStep()).count(2).Build());
  const TaskKey first = TaskKey::Builder().job(job).Build();
  const JobTask ready = *tasks.Find(first);
  tasks.Put(first, JobTask::Builder(ready)
                       .stage(TaskStage::kAssigned)
                       .worker(PlacementFleet::Name(0))
                       .Build());
  fleet.tables().jobs_.Put(
      job,
      JobRow::Builder(*fleet.tables().jobs_.Find(job)).began(true).Build());
  fleet.Advance(seconds(3));
  fleet.Place();
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_jobs_idle") == 0);
  tasks.Put(first, JobTask::Builder(ready).stage(TaskStage::kDone).Build());
  fleet.Place();
  fleet.Advance(milliseconds(500));
  fleet.Place();
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_jobs_idle") == 1);
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_longest_idle_ms") == 500);
}

// Many jobs that wait must not flood the log.
BOOST_AUTO_TEST_CASE(the_log_of_idle_jobs_is_bounded) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  for (int i = 0; i < 100; ++i) fleet.AddJob(WholeWorkerStep());
  std::size_t lines = 0;
  for (int i = 0; i < 300; ++i) {
    fleet.Advance(milliseconds(50));
    lines += LinesOf(fleet.PlaceAndTakeEffects(), "job-idle").size();
  }
  BOOST_TEST(lines > 100U);
  BOOST_TEST(lines <= 150U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
