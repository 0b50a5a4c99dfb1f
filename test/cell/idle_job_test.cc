#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/decision_lines.h"
#include "support/placement_fleet.h"
#include "systems/scheduler/measure_cell.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nine tasks of this size fit on a worker.
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

// A fleet that is full of best-effort tasks of one job, of which more wait.
// Apart from its memory it is empty by the platform's account, which counts no
// CPU of best-effort tasks.
void FillWithBestEffortWork(PlacementFleet& fleet, int workers,
                            std::int64_t memory_mb) {
  const JobStep step = JobStep::Builder(BestEffortStep(9 * workers + 30))
                           .memory_mb(memory_mb)
                           .Build();
  const std::uint64_t job = fleet.AddJob(step);
  for (std::int32_t index = 0; index < 9 * workers; ++index) {
    fleet.tables().tasks_.Put(TaskKey::Builder().job(job).index(index).Build(),
                              JobTask::Builder()
                                  .stage(TaskStage::kAssigned)
                                  .step(step)
                                  .worker(PlacementFleet::Name(index / 9))
                                  .run(1)
                                  .Build());
  }
}

// Lets time pass, with placement passes as often as while work waits.
void PlaceFor(PlacementFleet& fleet, Duration time) {
  for (Duration passed{}; passed < time; passed += milliseconds(200)) {
    fleet.Advance(milliseconds(200));
    fleet.Place();
  }
}

std::int64_t GaugeOf(const SchedulerTables& tables, const std::string& name) {
  for (const Gauge& gauge : MeasureCell(tables)) {
    if (gauge.name() == name) return gauge.value();
  }
  return -1;
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

// A pass without ready tasks between a start and its refusal ended the idle
// spell of the job, which then waited anew.
BOOST_AUTO_TEST_CASE(a_late_refusal_does_not_end_an_idle_spell) {
  PlacementFleet fleet(2);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep(), seconds(1));
  Table<std::uint64_t, JobRow>& jobs = fleet.tables().jobs_;
  auto& orphaned_runs = fleet.tables().orphaned_runs_;
  fleet.AddRunning(WholeWorkerStep(), 0);
  orphaned_runs[PlacementFleet::Name(1)].insert(RunKey());
  fleet.Place();
  BOOST_REQUIRE(fleet.Waiting(job) == 1U);
  orphaned_runs.clear();
  fleet.Place();
  BOOST_REQUIRE(fleet.Waiting(job) == 0U);
  jobs.Put(job, JobRow::Builder(*jobs.Find(job)).began(true).Build());
  fleet.Place();
  const TaskKey task = TaskKey::Builder().job(job).Build();
  fleet.Report(
      1, WorkerReport::Builder()
             .refused({RunRefused::Builder()
                           .run(RunKey::Builder().task(task).run(1).Build())
                           .reason(Reason::kDoesNotFit)
                           .Build()})
             .Build());
  fleet.Advance(milliseconds(500));
  orphaned_runs[PlacementFleet::Name(1)].insert(RunKey());
  fleet.Place();
  BOOST_TEST(GaugeOf(fleet.tables(), "cell_longest_idle_ms") == 1500);
  BOOST_TEST(jobs.Find(job)->idle_time() == Duration());
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

// The platform calls a job lost if it has had nothing running for 3 s although
// there is room by its account, which counts no CPU of best-effort tasks. A
// fleet full of such tasks left another job without a run until they ended.
BOOST_AUTO_TEST_CASE(a_job_gets_a_first_task_beside_much_best_effort_work) {
  PlacementFleet fleet(3);
  FillWithBestEffortWork(fleet, 3, 1000);
  const std::uint64_t job = fleet.AddJob(BestEffortStep(5));
  fleet.Place();
  BOOST_REQUIRE(fleet.Waiting(job) == 5U);
  PlaceFor(fleet, milliseconds(2400));
  BOOST_TEST(fleet.Waiting(job) == 4U);
  // Its other tasks wait for free CPU like those of all jobs.
  PlaceFor(fleet, seconds(10));
  BOOST_TEST(fleet.Waiting(job) == 4U);
}

// As before, with a job whose tasks start together.
BOOST_AUTO_TEST_CASE(a_gang_starts_beside_much_best_effort_work) {
  PlacementFleet fleet(3);
  FillWithBestEffortWork(fleet, 3, 1000);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(BestEffortStep(5)).gang(true).Build());
  PlaceFor(fleet, milliseconds(2400));
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Memory is never overcommitted, and what another job frees goes to the job
// with nothing running, not to more tasks of a job that has several.
BOOST_AUTO_TEST_CASE(freed_memory_goes_to_the_job_with_nothing_running) {
  PlacementFleet fleet(3);
  FillWithBestEffortWork(fleet, 3, 27'000);
  const JobStep step =
      JobStep::Builder(BestEffortStep(1)).memory_mb(27'000).Build();
  const std::uint64_t job = fleet.AddJob(step);
  PlaceFor(fleet, seconds(10));
  BOOST_REQUIRE(fleet.Waiting(job) == 1U);
  JobTaskTable& tasks = fleet.tables().tasks_;
  const TaskKey ended = *tasks.TasksOnWorker(PlacementFleet::Name(1)).begin();
  tasks.Put(
      ended,
      JobTask::Builder(*tasks.Find(ended)).stage(TaskStage::kDone).Build());
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Each of many jobs gets a first task only up to twice a worker's CPU. Above
// that, each end of a task makes room for the next job.
BOOST_AUTO_TEST_CASE(overcommitted_best_effort_cpu_is_bounded) {
  PlacementFleet fleet(1);
  for (int i = 0; i < 100; ++i) fleet.AddJob(BestEffortStep(1));
  PlaceFor(fleet, seconds(10));
  BOOST_TEST(fleet.TasksOnWorker(0) == 18U);
  JobTaskTable& tasks = fleet.tables().tasks_;
  const TaskKey ended = *tasks.TasksOnWorker(PlacementFleet::Name(0)).begin();
  tasks.Put(
      ended,
      JobTask::Builder(*tasks.Find(ended)).stage(TaskStage::kDone).Build());
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 18U);
}

// CPU that other than best-effort tasks reserve is never overcommitted, and a
// worker with little CPU left is not overcommitted with best-effort tasks.
BOOST_AUTO_TEST_CASE(reserved_cpu_is_never_overcommitted) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  const std::uint64_t urgent = fleet.AddJob(WholeWorkerStep());
  const std::uint64_t batch = fleet.AddJob(BestEffortStep(1));
  PlaceFor(fleet, seconds(20));
  BOOST_TEST(fleet.Waiting(urgent) == 1U);
  BOOST_TEST(fleet.Waiting(batch) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
