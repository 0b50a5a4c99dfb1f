#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "messages/run_refused.h"
#include "support/decision_lines.h"
#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/scheduler/explain_idle_jobs.h"
#include "systems/scheduler/measure_cell.h"

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

TaskKey TaskOf(std::uint64_t job, std::int32_t index = 0) {
  return TaskKey::Builder().job(job).index(index).Build();
}

std::int64_t GaugeOf(PlacementFleet& fleet, const std::string& name) {
  for (const Gauge& gauge : MeasureCell(fleet.tables())) {
    if (gauge.name() == name) return gauge.value();
  }
  return -1;
}

void SetStage(PlacementFleet& fleet, const TaskKey& key, TaskStage stage,
              int worker = 0) {
  JobTaskTable& tasks = fleet.tables().tasks_;
  tasks.Put(key, JobTask::Builder(*tasks.Find(key))
                     .stage(stage)
                     .worker(PlacementFleet::Name(worker))
                     .Build());
}

template <typename Change>
void ChangeJob(PlacementFleet& fleet, std::uint64_t job, Change&& change) {
  JobRow::Builder builder(*fleet.tables().jobs_.Find(job));
  change(builder);
  fleet.tables().jobs_.Put(job, builder.Build());
}

// Looks for idle jobs once and returns the lines about them.
std::vector<LogDecision> Explain(PlacementFleet& fleet) {
  Random random(1);
  SchedulerTick tick(fleet.tables().last_tick_, random,
                     fleet.tables().counters_);
  ExplainIdleJobs(fleet.tables(), tick);
  return LinesOf(tick.TakeEffects(), "job-idle");
}

// Lets time pass, with placement and a look for idle jobs every 0.1 s. Returns
// the lines about idle jobs.
std::vector<LogDecision> RunFor(PlacementFleet& fleet, Duration time) {
  std::vector<LogDecision> lines;
  for (Duration passed{}; passed < time; passed += milliseconds(100)) {
    fleet.Advance(milliseconds(100));
    for (auto& line : LinesOf(fleet.PlaceAndTakeEffects(), "job-idle")) {
      lines.push_back(line);
    }
    for (auto& line : Explain(fleet)) lines.push_back(line);
  }
  return lines;
}

// Returns the only line that is written while a job has been idle for 1.1 s.
LogDecision OnlyLine(PlacementFleet& fleet) {
  const auto lines = RunFor(fleet, milliseconds(1200));
  BOOST_REQUIRE(lines.size() == 1U);
  return lines[0];
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

// A job that gets one task at a time, each followed by another wait, had the
// same lines as one that waits once.
BOOST_AUTO_TEST_CASE(a_job_that_waits_anew_after_each_task_shows_its_spells) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(WholeWorkerStep()).count(5).Build());
  std::vector<LogDecision> lines;
  for (std::int32_t index = 0; index < 3; ++index) {
    lines = RunFor(fleet, milliseconds(1200));
    SetStage(fleet, TaskOf(job, index), TaskStage::kAssigned);
    ChangeJob(fleet, job, [](JobRow::Builder& row) { row.began(true); });
    RunFor(fleet, milliseconds(800));
    SetStage(fleet, TaskOf(job, index), TaskStage::kDone);
  }
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(FieldOf(lines[0], "spells") == "3");
  const int idle_ms = std::stoi(FieldOf(lines[0], "idle_ms"));
  const int total_ms = std::stoi(FieldOf(lines[0], "idle_total_ms"));
  BOOST_TEST(idle_ms < 1200);
  BOOST_TEST(total_ms >= idle_ms + 2 * 1100);
  BOOST_TEST(total_ms <= idle_ms + 2 * 1300);
}

BOOST_AUTO_TEST_CASE(a_job_that_waits_once_shows_one_spell) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  fleet.AddJob(WholeWorkerStep());
  const auto lines = RunFor(fleet, seconds(5));
  BOOST_REQUIRE(lines.size() == 3U);
  BOOST_TEST(FieldOf(lines[2], "spells") == "1");
  BOOST_TEST(FieldOf(lines[2], "idle_total_ms") ==
             FieldOf(lines[2], "idle_ms"));
  BOOST_TEST(FieldOf(lines[2], "reason") == "no-worker");
  BOOST_TEST(FieldOf(lines[2], "reason_ms") == FieldOf(lines[2], "idle_ms"));
}

// A task that workers refuse again and again has not run, so that its job waits
// once.
BOOST_AUTO_TEST_CASE(a_refused_task_begins_no_spell) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  fleet.Place();
  int refused = 0;
  std::vector<LogDecision> lines;
  for (int i = 0; i < 30 && lines.empty(); ++i) {
    lines = RunFor(fleet, milliseconds(100));
    const JobTask task = *fleet.tables().tasks_.Find(TaskOf(job));
    if (task.stage() != TaskStage::kAssigned) continue;
    ++refused;
    fleet.Report(0, WorkerReport::Builder()
                        .refused({RunRefused::Builder()
                                      .run(RunKey::Builder()
                                               .task(TaskOf(job))
                                               .run(task.run())
                                               .Build())
                                      .reason(Reason::kDoesNotFit)
                                      .Build()})
                        .Build());
  }
  BOOST_TEST(refused > 1);
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(FieldOf(lines[0], "spells") == "1");
}

// A job all of whose tasks are suspects had no line.
BOOST_AUTO_TEST_CASE(a_job_held_as_suspect_says_what_it_waits_for) {
  PlacementFleet fleet(2);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  SetStage(fleet, TaskOf(job), TaskStage::kQuarantined);
  const SuspectRow row = SuspectRow::Builder()
                             .crashed_runs({CrashedRun(), CrashedRun()})
                             .prime(true)
                             .not_before(kFleetNow + milliseconds(1300))
                             .Build();
  fleet.tables().suspects_.Put(TaskOf(job), row);
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "suspect-held");
  BOOST_TEST(FieldOf(line, "hold") == "delay");
  BOOST_TEST(FieldOf(line, "crashes") == "2");
  BOOST_TEST(FieldOf(line, "index") == "0");
  BOOST_TEST(FieldOf(line, "idle_ms") == "1000");
  // What it waits for changes; the line is due when the time has doubled.
  const auto later = RunFor(fleet, milliseconds(1200));
  BOOST_REQUIRE(later.size() == 1U);
  BOOST_TEST(FieldOf(later[0], "hold") == "worker");
  BOOST_TEST(FieldOf(later[0], "reason_ms") == "2000");
  fleet.tables().suspects_.Put(
      TaskOf(job), SuspectRow::Builder(row).isolated(IsolatedRun()).Build());
  const auto planned = RunFor(fleet, milliseconds(2000));
  BOOST_REQUIRE(planned.size() == 1U);
  BOOST_TEST(FieldOf(planned[0], "hold") == "store");
}

// A job whose tasks were placed by an earlier holder, and may run where no
// worker has listed its runs, had no line.
BOOST_AUTO_TEST_CASE(a_job_in_doubt_after_a_takeover_says_so) {
  PlacementFleet fleet(2);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(WholeWorkerStep()).count(3).Build());
  for (const std::int32_t index : {0, 1, 2}) {
    SetStage(fleet, TaskOf(job, index), TaskStage::kInDoubt);
  }
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "state-unknown");
  BOOST_TEST(FieldOf(line, "tasks") == "3");
  // A task that is found running ends the spell.
  SetStage(fleet, TaskOf(job, 1), TaskStage::kAssigned);
  BOOST_TEST(RunFor(fleet, seconds(3)).empty());
}

// A job whose only run is on a worker that gives no sign of life had no line.
BOOST_AUTO_TEST_CASE(a_job_on_a_silent_worker_names_the_worker) {
  PlacementFleet fleet(2);
  const std::uint64_t job = fleet.AddRunning(WholeWorkerStep(), 1);
  const MemberName name = PlacementFleet::Name(1);
  fleet.tables().workers_.Put(
      name, WorkerRow::Builder(*fleet.tables().workers_.Find(name))
                .silent(true)
                .Build());
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "worker-unheard");
  BOOST_TEST(FieldOf(line, "worker") == name.value());
  BOOST_TEST(FieldOf(line, "tasks") == "1");
}

// The line of a gang that waits for the end of earlier runs named workers only,
// although none of them was in the way.
BOOST_AUTO_TEST_CASE(a_gang_that_waits_for_earlier_runs_says_so) {
  PlacementFleet fleet(3);
  const std::uint64_t job = fleet.AddJob(
      JobStep::Builder(WholeWorkerStep()).count(2).gang(true).Build());
  SetStage(fleet, TaskOf(job, 1), TaskStage::kInDoubt);
  // To the placement pass the task of unknown state is running, so that it does
  // not log the job.
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "gang-incomplete");
  BOOST_TEST(FieldOf(line, "gang_ready") == "1");
  BOOST_TEST(FieldOf(line, "gang_missing") == "1");
}

// A job that the store does not contain yet is not placed, and had no line.
BOOST_AUTO_TEST_CASE(a_job_that_is_not_stored_says_so) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  SetStage(fleet, TaskOf(job), TaskStage::kBlocked);
  ChangeJob(fleet, job, [](JobRow::Builder& row) { row.stored(false); });
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "not-stored");
}

// A holder that is out of touch with the runners and the store places nothing,
// and no line of a job said so.
BOOST_AUTO_TEST_CASE(a_job_of_an_unconfirmed_holder_says_so) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  std::vector<LogDecision> lines;
  for (int i = 0; i < 12; ++i) {
    fleet.Advance(milliseconds(100));
    fleet.tables().term_ = HolderTerm::Builder(fleet.tables().term_)
                               .confirmed_at(kFleetNow - seconds(5))
                               .Build();
    const MemberName name = PlacementFleet::Name(0);
    fleet.tables().members_.Put(
        name, MemberRow::Builder(*fleet.tables().members_.Find(name))
                  .heard_at(kFleetNow - seconds(5))
                  .heard_attention(kFleetNow - seconds(5))
                  .Build());
    fleet.Place();
    for (auto& line : Explain(fleet)) lines.push_back(line);
  }
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0].job() == job);
  BOOST_TEST(FieldOf(lines[0], "reason") == "holder-unconfirmed");
}

// A job whose tasks nothing will make ready must not wait without a line.
BOOST_AUTO_TEST_CASE(a_job_that_nothing_makes_ready_names_its_step) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  SetStage(fleet, TaskOf(job), TaskStage::kBlocked);
  fleet.tables().steps_.Put(StepKey::Builder().job(job).Build(),
                            StepRow::Builder().left(0).Build());
  fleet.tables().steps_.Put(StepKey::Builder().job(job).step(1).Build(),
                            StepRow::Builder().left(1).Build());
  const LogDecision line = OnlyLine(fleet);
  BOOST_TEST(line.job() == job);
  BOOST_TEST(FieldOf(line, "reason") == "step-blocked");
  BOOST_TEST(FieldOf(line, "step") == "1");
}

// A step behind another is named by what holds the first one.
BOOST_AUTO_TEST_CASE(a_step_behind_a_held_one_is_explained_by_that_one) {
  PlacementFleet fleet(1);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(WholeWorkerStep()).count(2).Build());
  SetStage(fleet, TaskOf(job, 0), TaskStage::kQuarantined);
  SetStage(fleet, TaskOf(job, 1), TaskStage::kBlocked);
  fleet.tables().suspects_.Put(
      TaskOf(job, 0),
      SuspectRow::Builder().crashed_runs({CrashedRun()}).prime(true).Build());
  fleet.tables().steps_.Put(StepKey::Builder().job(job).step(1).Build(),
                            StepRow::Builder().left(1).Build());
  BOOST_TEST(FieldOf(OnlyLine(fleet), "reason") == "suspect-held");
}

// Waits that a job's definition asks for are no finding.
BOOST_AUTO_TEST_CASE(a_job_that_is_not_due_is_not_idle) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  SetStage(fleet, TaskOf(job), TaskStage::kBlocked);
  const std::int64_t due_ms = std::chrono::duration_cast<milliseconds>(
                                  (kFleetNow + seconds(5)).time_since_epoch())
                                  .count();
  ChangeJob(fleet, job, [&](JobRow::Builder& row) {
    row.record(JobRecord::Builder()
                   .definition(JobDefinition::Builder()
                                   .steps({WholeWorkerStep()})
                                   .repeat_count(1)
                                   .first_due_ms(due_ms)
                                   .Build())
                   .Build());
  });
  fleet.tables().steps_.Put(StepKey::Builder().job(job).Build(),
                            StepRow::Builder().left(1).Build());
  BOOST_TEST(RunFor(fleet, milliseconds(4900)).empty());
  BOOST_TEST(fleet.tables().idle_spells_.empty());
  // From then on it is, which a search among all jobs finds within 1 s.
  BOOST_TEST(RunFor(fleet, seconds(2)).size() == 1U);
}

// A job is left alone while it runs something, and forgotten once it has ended.
BOOST_AUTO_TEST_CASE(the_spells_of_a_job_end_with_it) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  const std::uint64_t ended = fleet.AddJob(WholeWorkerStep());
  const std::uint64_t erased = fleet.AddJob(WholeWorkerStep());
  RunFor(fleet, seconds(2));
  BOOST_TEST(fleet.tables().idle_spells_.size() == 2U);
  SetStage(fleet, TaskOf(ended), TaskStage::kDone);
  ChangeJob(fleet, ended,
            [](JobRow::Builder& row) { row.state(JobState::kCompleted); });
  fleet.tables().tasks_.Erase(TaskOf(erased));
  fleet.tables().jobs_.Erase(erased);
  RunFor(fleet, milliseconds(200));
  BOOST_TEST(fleet.tables().idle_spells_.empty());
}

// Many held jobs beside many that wait for a worker must not flood the log.
BOOST_AUTO_TEST_CASE(the_log_of_held_and_waiting_jobs_is_bounded) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  for (int i = 0; i < 100; ++i) {
    fleet.AddJob(WholeWorkerStep());
    SetStage(fleet, TaskOf(fleet.AddJob(WholeWorkerStep())),
             TaskStage::kInDoubt);
  }
  const auto lines = RunFor(fleet, seconds(15));
  std::size_t held = 0;
  for (const LogDecision& line : lines) {
    if (FieldOf(line, "reason") == "state-unknown") ++held;
  }
  BOOST_TEST(lines.size() > 100U);
  BOOST_TEST(lines.size() <= 150U);
  // Neither kind keeps the other from its lines.
  BOOST_TEST(held > 25U);
  BOOST_TEST(lines.size() - held > 25U);
}

// The search must not run in each tick.
BOOST_AUTO_TEST_CASE(idle_jobs_are_searched_for_at_intervals) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  const std::uint64_t job = fleet.AddJob(WholeWorkerStep());
  Explain(fleet);
  BOOST_REQUIRE(fleet.tables().idle_spells_.Find(job) != nullptr);
  for (int i = 0; i < 9; ++i) {
    fleet.Advance(milliseconds(10));
    Explain(fleet);
    BOOST_TEST((fleet.tables().idle_spells_.Find(job)->seen_at() == kFleetNow));
  }
  fleet.Advance(milliseconds(10));
  Explain(fleet);
  BOOST_TEST((fleet.tables().idle_spells_.Find(job)->seen_at() ==
              kFleetNow + milliseconds(100)));
}

// The gauge of idle jobs counted those alone that wait for a worker.
BOOST_AUTO_TEST_CASE(the_gauges_count_idle_jobs_by_reason) {
  PlacementFleet fleet(1);
  fleet.AddRunning(WholeWorkerStep(), 0);
  fleet.AddJob(WholeWorkerStep());
  for (int i = 0; i < 2; ++i) {
    SetStage(fleet, TaskOf(fleet.AddJob(WholeWorkerStep())),
             TaskStage::kInDoubt);
  }
  RunFor(fleet, milliseconds(800));
  BOOST_TEST(GaugeOf(fleet, "cell_jobs_idle_state_unknown") == 0);
  RunFor(fleet, milliseconds(400));
  BOOST_TEST(GaugeOf(fleet, "cell_jobs_idle_state_unknown") == 2);
  BOOST_TEST(GaugeOf(fleet, "cell_jobs_idle_no_worker") == 1);
  BOOST_TEST(GaugeOf(fleet, "cell_jobs_idle_suspect_held") == 0);
  BOOST_TEST(GaugeOf(fleet, "cell_jobs_idle_step_blocked") == 0);
}

// The search is a part of the holder's tick.
BOOST_AUTO_TEST_CASE(a_holder_searches_for_idle_jobs) {
  VirtualCell cell(3, 1, 1);
  cell.RunFor(seconds(10));
  const std::uint64_t job =
      cell.Submit(JobDefinition::Builder()
                      .spec("spec")
                      .steps({JobStep::Builder(WholeWorkerStep())
                                  .cpu(1'000'000)
                                  .estimate(seconds(1))
                                  .Build()})
                      .Build());
  cell.RunFor(seconds(5));
  BOOST_REQUIRE(cell.Holder().has_value());
  const IdleSpells* spells =
      cell.scheduler(*cell.Holder()).idle_spells_.Find(job);
  BOOST_REQUIRE(spells != nullptr);
  BOOST_TEST(spells->idle());
  BOOST_TEST(std::holds_alternative<NoWorker>(spells->reason()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
