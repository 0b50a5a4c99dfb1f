#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/watch_worker.h"
#include "systems/scheduler/reclaim_capacity.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The time within which a worker's next announcement shows its new capacity,
// and work that fits starts.
constexpr milliseconds kAnnounceAndStart{2500};

JobStep Step(std::int32_t count, std::int64_t cpu,
             milliseconds time = milliseconds(500)) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(100)
      .estimate(time)
      .Build();
}

JobStep ServiceStep(std::int32_t count, std::int64_t cpu) {
  return JobStep::Builder(Step(count, cpu))
      .long_running(true)
      .target(milliseconds(100))
      .image("service")
      .Build();
}

JobDefinition Job(const JobStep& step) {
  return JobDefinition::Builder().spec("spec").steps({step}).Build();
}

TaskKey TaskOf(std::uint64_t job, std::int32_t index = 0) {
  return TaskKey::Builder().job(job).index(index).Build();
}

RunKey FirstRunOf(std::uint64_t job) {
  return RunKey::Builder().task(TaskOf(job)).run(1).Build();
}

// A runner whose worker has two cores.
struct RunnerWithWorker {
  RunnerWithWorker() : random_(1) {
    tables_.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
    Announce(1, 2000);
    tables_.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
  }

  void Announce(std::int64_t born_ms, std::int64_t cpu) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    HandleWorkerAnnounced(WorkerAnnounced::Builder()
                              .facts(WorkerDescription::Builder()
                                         .worker("worker")
                                         .born_ms(born_ms)
                                         .cpu(cpu)
                                         .memory_mb(1000)
                                         .Build())
                              .sequence(++last_sequence_)
                              .Build(),
                          tables_, tick);
  }

  // Returns true if the runner passes the start on to its worker.
  bool Start(std::uint64_t job, std::int64_t cpu, std::int64_t born_ms = 1) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    HandleStartRun(StartRun::Builder()
                       .run(FirstRunOf(job))
                       .born_ms(born_ms)
                       .cpu(cpu)
                       .memory_mb(100)
                       .Build(),
                   tables_, tick);
    SendCommands(tables_, tick);
    for (const RunnerEffect& effect : tick.TakeEffects()) {
      if (std::holds_alternative<WorkerStart>(effect)) return true;
    }
    return false;
  }

  void Stop(std::uint64_t job) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    HandleStopRun(StopRun::Builder().run(FirstRunOf(job)).Build(), tables_,
                  tick);
    SendCommands(tables_, tick);
  }

  // Handles an answer of an incarnation that has not announced itself.
  void AnswerOf(std::int64_t born_ms) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    CheckWorkerIncarnation(WorkerAnswer::Builder()
                               .verdict(WorkerCallOutcome::kDone)
                               .born_ms(born_ms)
                               .Build(),
                           tables_, tick);
    tables_.session_ =
        HolderSession::Builder(tables_.session_).synced(true).Build();
  }

  Random random_;
  RunnerTables tables_;
  std::int64_t last_sequence_ = 0;
};

// Reports that the worker has another CPU capacity. Returns the effects.
std::vector<SchedulerEffect> ReportCpu(PlacementFleet& fleet, int worker,
                                       std::int64_t cpu) {
  const WorkerRow row =
      *fleet.tables().workers_.Find(PlacementFleet::Name(worker));
  return fleet.Report(
      worker,
      WorkerReport::Builder()
          .facts(WorkerDescription::Builder(*row.facts()).cpu(cpu).Build())
          .fill_pace(100)
          .Build());
}

// Runs a placement pass without the delay after one that left tasks waiting.
void PlaceAgain(PlacementFleet& fleet) {
  fleet.tables().earliest_placement_ = kFleetNow;
  fleet.Place();
}

std::vector<TaskKey> StoppedTasks(const std::vector<SchedulerEffect>& effects) {
  std::vector<TaskKey> stopped;
  for (const SchedulerEffect& effect : effects) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* stop = std::get_if<StopRun>(&sent->message());
    if (stop != nullptr) stopped.push_back(stop->run().task());
  }
  return stopped;
}

// A cell that has elected its holder. Reports every violated invariant at its
// end.
struct ReadyCell {
  explicit ReadyCell(std::size_t agents) : cell_(agents, 1, 1) {
    cell_.RunFor(seconds(3));
  }
  ~ReadyCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  void SetCpu(std::int64_t cpu) {
    for (std::size_t i = 0; i < cell_.agents(); ++i) {
      cell_.worker(i).SetRoom(WorkerRoom::Builder().cpu(cpu).Build());
    }
  }

  VirtualCell cell_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(changing_rooms)

// Guards against a start that was on its way when the worker announced less
// capacity, and against a capacity that counts runs only once they have ended.
BOOST_AUTO_TEST_CASE(a_runner_refuses_what_exceeds_the_newest_capacity) {
  RunnerWithWorker runner;
  BOOST_TEST(runner.Start(1, 1000));
  runner.Announce(1, 1500);
  BOOST_TEST(!runner.Start(2, 1000));
  runner.Stop(1);
  BOOST_TEST(!runner.Start(3, 1000));
  runner.Announce(1, 500);
  BOOST_TEST(!runner.Start(4, 100));
  runner.Announce(1, 2000);
  BOOST_TEST(runner.Start(5, 1000));
}

// Guards against starts that exceed the capacity of a new incarnation, which an
// answer has shown before its first announcement.
BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_nothing_before_its_announcement) {
  RunnerWithWorker runner;
  runner.AnswerOf(2);
  BOOST_TEST(!runner.Start(1, 1000, 2));
  runner.Announce(2, 1500);
  BOOST_TEST(!runner.Start(2, 2000, 2));
  BOOST_TEST(runner.Start(3, 1500, 2));
}

// Guards against placement by a capacity that a later report has changed.
BOOST_AUTO_TEST_CASE(placement_follows_the_reported_capacity) {
  PlacementFleet fleet(1);
  ReportCpu(fleet, 0, 5000);
  const std::uint64_t job = fleet.AddJob(Step(3, 4000));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 2U);
  ReportCpu(fleet, 0, 12'000);
  PlaceAgain(fleet);
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Guards against changes of a capacity that the log does not show, with what is
// reserved at that time.
BOOST_AUTO_TEST_CASE(a_changed_capacity_is_logged_once) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Step(1, 16'000), 0);
  const auto lines_after = [&](std::int64_t cpu) {
    std::size_t lines = 0;
    for (const SchedulerEffect& effect : ReportCpu(fleet, 0, cpu)) {
      const auto* line = std::get_if<LogDecision>(&effect);
      if (line != nullptr && line->event() == "worker-capacity-changed")
        ++lines;
    }
    return lines;
  };
  BOOST_TEST(lines_after(5000) == 1U);
  BOOST_TEST(lines_after(5000) == 0U);
  BOOST_TEST(lines_after(64'000) == 1U);
}

// Guards against tasks that are placed beside others which exceed the capacity
// since it shrank.
BOOST_AUTO_TEST_CASE(what_runs_beyond_a_shrunk_capacity_counts) {
  PlacementFleet fleet(1);
  fleet.AddRunning(Step(2, 16'000), 0);
  ReportCpu(fleet, 0, 17'000);
  const std::uint64_t job = fleet.AddJob(Step(1, 1000));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 1U);
}

// Guards against best-effort tasks that are placed again and again on a worker
// whose runner refuses them, since its services exceed its capacity.
BOOST_AUTO_TEST_CASE(a_best_effort_task_avoids_services_beyond_the_capacity) {
  PlacementFleet fleet(1);
  fleet.AddRunning(ServiceStep(4, 14'000), 0);
  ReportCpu(fleet, 0, 50'000);
  const JobStep step =
      JobStep::Builder(Step(1, 3000)).fills(true).image("fills").Build();
  const std::uint64_t job = fleet.AddJob(step);
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 1U);
  ReportCpu(fleet, 0, 60'000);
  PlaceAgain(fleet);
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Guards against an overdue task that waits beside an unused worker, since what
// runs beyond the capacity of another one counts as use of them all.
BOOST_AUTO_TEST_CASE(an_overdue_task_waits_for_no_shrunk_capacity) {
  PlacementFleet fleet(2);
  fleet.AddRunning(Step(1, 60'000), 0);
  ReportCpu(fleet, 0, 5000);
  auto& workers = fleet.tables().workers_;
  const MemberName avoided = PlacementFleet::Name(1);
  workers.Put(avoided, WorkerRow::Builder(*workers.Find(avoided))
                           .rests_until(kFleetNow + seconds(16))
                           .Build());
  const std::uint64_t job = fleet.AddJob(Step(1, 10'000), seconds(2));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Guards against a gang of which one task is placed on a worker whose capacity
// has shrunk.
BOOST_AUTO_TEST_CASE(a_gang_waits_as_a_whole_for_a_shrunk_capacity) {
  PlacementFleet fleet(2);
  ReportCpu(fleet, 1, 30'000);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(Step(2, 40'000)).gang(true).Build());
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 2U);
  ReportCpu(fleet, 1, 40'000);
  PlaceAgain(fleet);
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// Guards against tasks of a gang that occupy capacity without working, until
// they end alone, because a worker's capacity shrank before one of them started
// there.
BOOST_AUTO_TEST_CASE(a_gang_of_which_one_task_is_refused_is_stopped) {
  PlacementFleet fleet(2);
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(Step(2, 40'000)).gang(true).Build());
  fleet.Place();
  BOOST_REQUIRE(fleet.Waiting(job) == 0U);
  const MemberName refusing = PlacementFleet::Name(1);
  const TaskKey refused =
      *fleet.tables().tasks_.TasksOnWorker(refusing).begin();
  const JobTask row = *fleet.tables().tasks_.Find(refused);
  const WorkerDescription facts =
      *fleet.tables().workers_.Find(refusing)->facts();
  const auto effects = fleet.Report(
      1,
      WorkerReport::Builder()
          .facts(WorkerDescription::Builder(facts).cpu(30'000).Build())
          .fill_pace(100)
          .refused(
              {RunRefused::Builder()
                   .run(RunKey::Builder().task(refused).run(row.run()).Build())
                   .reason(Reason::kDoesNotFit)
                   .Build()})
          .Build());
  const std::vector<TaskKey> stopped = StoppedTasks(effects);
  BOOST_REQUIRE(stopped.size() == 1U);
  BOOST_TEST((stopped.front() == TaskOf(job, 1 - refused.index())));
}

// Guards against preemption that makes room by the capacity of before, or that
// stops services although the waiting task does not fit in any case.
BOOST_AUTO_TEST_CASE(preemption_follows_the_reported_capacity) {
  const auto stops_with = [](std::int64_t cpu) {
    PlacementFleet fleet(1);
    for (int i = 0; i < 4; ++i) fleet.AddRunning(ServiceStep(1, 16'000), 0);
    ReportCpu(fleet, 0, cpu);
    fleet.AddJob(Step(1, 10'000), milliseconds(400));
    fleet.Place();
    return fleet.CountStopCommands(PreemptLongRunning);
  };
  BOOST_TEST(stops_with(64'000) == 1U);
  BOOST_TEST(stops_with(42'000) == 2U);
  BOOST_TEST(stops_with(26'000) == 3U);
  BOOST_TEST(stops_with(9000) == 0U);
}

// Guards against services that are moved to a worker whose capacity has shrunk.
BOOST_AUTO_TEST_CASE(services_are_not_moved_to_a_shrunk_capacity) {
  const auto stops_with = [](std::int64_t cpu) {
    PlacementFleet fleet(2);
    fleet.AddRunning(ServiceStep(2, 13'000), 0);
    fleet.AddRunning(ServiceStep(1, 10'000), 1);
    fleet.Observe(0, "noisy", 7000, "service", 400);
    fleet.Observe(1, "noisy", 7000, "service", 400);
    ReportCpu(fleet, 0, cpu);
    fleet.AddJob(
        JobStep::Builder(Step(4, 7000)).fills(true).image("noisy").Build(),
        seconds(1));
    fleet.Place();
    return fleet.CountStopCommands(ConsolidateServices);
  };
  BOOST_TEST(stops_with(64'000) == 1U);
  BOOST_TEST(stops_with(35'000) == 0U);
}

// Guards against work that waits for ever, or that starts late, once a capacity
// that had shrunk has grown again.
BOOST_AUTO_TEST_CASE(waiting_work_starts_once_the_capacity_has_grown) {
  ReadyCell fixture(2);
  VirtualCell& cell = fixture.cell_;
  fixture.SetCpu(0);
  cell.RunFor(kAnnounceAndStart);
  const std::uint64_t job = cell.Submit(Job(Step(3, 1000, seconds(5))));
  const std::uint64_t service = cell.Submit(Job(ServiceStep(2, 1000)));
  cell.RunFor(seconds(10));
  BOOST_TEST(cell.log().StartsOf(job) == 0);
  BOOST_TEST(cell.log().StartsOf(service) == 0);
  fixture.SetCpu(16'000);
  cell.RunFor(kAnnounceAndStart);
  BOOST_TEST(cell.log().StartsOf(job) == 3);
  BOOST_TEST(cell.log().StartsOf(service) == 2);
}

// Guards against a job that is forgotten because its single task exceeds every
// capacity for longer than the job has time.
BOOST_AUTO_TEST_CASE(a_task_larger_than_every_capacity_runs_once_one_grows) {
  ReadyCell fixture(2);
  VirtualCell& cell = fixture.cell_;
  fixture.SetCpu(8000);
  cell.RunFor(kAnnounceAndStart);
  const std::uint64_t job = cell.Submit(Job(Step(1, 12'000)));
  cell.RunFor(seconds(30));
  BOOST_TEST(cell.log().StartsOf(job) == 0);
  cell.worker(1).SetRoom(WorkerRoom());
  cell.RunFor(kAnnounceAndStart + milliseconds(500));
  BOOST_TEST(cell.log().IsDone(TaskOf(job)));
}

// Guards against runs that are stopped, or started twice, because the capacity
// of their worker has shrunk below what they reserve.
BOOST_AUTO_TEST_CASE(runs_go_on_when_the_capacity_shrinks) {
  ReadyCell fixture(1);
  VirtualCell& cell = fixture.cell_;
  const std::uint64_t job = cell.Submit(Job(Step(4, 4000, seconds(8))));
  const std::uint64_t service = cell.Submit(Job(ServiceStep(1, 0)));
  cell.RunFor(seconds(1));
  BOOST_TEST(cell.worker(0).running() == 5U);
  fixture.SetCpu(2000);
  cell.RunFor(seconds(9));
  BOOST_TEST(cell.log().StartsOf(job) == 4);
  BOOST_TEST(cell.log().StartsOf(service) == 1);
  BOOST_TEST(cell.log().IsDone(TaskOf(job, 3)));
  BOOST_TEST(cell.worker(0).running() == 1U);
}

// Guards against a start that reaches the worker after it has announced less
// capacity, and against a task that is not started elsewhere then.
BOOST_AUTO_TEST_CASE(a_start_on_its_way_as_the_capacity_shrinks_is_refused) {
  ReadyCell fixture(2);
  VirtualCell& cell = fixture.cell_;
  const std::size_t holder = cell.Holder().value();
  const std::size_t other = 1 - holder;
  cell.worker(holder).SetRoom(WorkerRoom::Builder().cpu(0).Build());
  cell.RunFor(kAnnounceAndStart);
  cell.SetLatency(other, milliseconds(250));
  cell.RunFor(milliseconds(300));
  // Announcements come every 1.5 s.
  const milliseconds passed = std::chrono::duration_cast<milliseconds>(
      cell.now().time_since_epoch() % milliseconds(1500));
  cell.RunFor(milliseconds(1400) - passed);
  const std::uint64_t job = cell.Submit(Job(Step(1, 12'000)));
  cell.RunFor(milliseconds(50));
  cell.worker(other).SetRoom(WorkerRoom::Builder().cpu(4000).Build());
  cell.RunFor(seconds(2));
  BOOST_TEST(cell.log().StartsOf(job) == 0);
  cell.worker(holder).SetRoom(WorkerRoom());
  cell.RunFor(kAnnounceAndStart);
  BOOST_TEST(cell.log().IsDone(TaskOf(job)));
}

// Guards against a new holder that fills workers by their capacity of before.
BOOST_AUTO_TEST_CASE(a_new_holder_follows_the_shrunk_capacity) {
  ReadyCell fixture(3);
  VirtualCell& cell = fixture.cell_;
  fixture.SetCpu(3000);
  // The capacity of before counts for 5.5 s.
  cell.RunFor(seconds(6));
  cell.KillAgent(cell.Holder().value());
  const std::uint64_t job = cell.Submit(Job(Step(12, 2000, seconds(4))), 20);
  cell.RunFor(seconds(8));
  for (std::size_t i = 0; i < cell.agents(); ++i) cell.StartAgent(i);
  cell.RunFor(seconds(40));
  for (std::int32_t index = 0; index < 12; ++index) {
    BOOST_TEST(cell.log().IsDone(TaskOf(job, index)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
