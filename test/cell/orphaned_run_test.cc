#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/runner_node.h"
#include "systems/scheduler/ask_for_orphaned_runs.h"
#include "systems/scheduler/choose_worker.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A job that could run has to run within this time: the users' limit for a job
// whose turn has come while there is capacity for it.
constexpr milliseconds kMaxWait{3000};
const std::int64_t kAllCpu = WorkerRoom().cpu();

MemberName AgentNamed(std::size_t agent) {
  return MemberName("agent-" + std::to_string(agent));
}

JobDefinition JobOf(std::int32_t count, std::int64_t cpu, bool long_running) {
  const JobStep step = JobStep::Builder()
                           .count(count)
                           .cpu(cpu)
                           .memory_mb(100)
                           .estimate(milliseconds(500))
                           .long_running(long_running)
                           .most_per_worker(1)
                           .Build();
  return JobDefinition::Builder().spec("spec").steps({step}).Build();
}

// Runs a job that takes all the CPU of every worker at once, and returns the
// time until it is done, at most twice the limit.
Duration TimeOfWholeCell(VirtualCell& cell) {
  const std::uint64_t job = cell.Submit(
      JobOf(static_cast<std::int32_t>(cell.agents()), kAllCpu, false));
  const Instant submitted = cell.now();
  const auto is_done = [&] {
    for (std::size_t i = 0; i < cell.agents(); ++i) {
      const TaskKey task = TaskKey::Builder()
                               .job(job)
                               .index(static_cast<std::int32_t>(i))
                               .Build();
      if (!cell.log().IsDone(task)) return false;
    }
    return true;
  };
  while (!is_done() && cell.now() < submitted + 2 * kMaxWait) {
    cell.RunFor(milliseconds(50));
  }
  return cell.now() - submitted;
}

// A holder and the runner of its only worker, which has no runs. Messages take
// no time.
class HolderWithRunner {
 public:
  HolderWithRunner() : fleet_(1), runner_(RunnerPolicy(), 1) {
    ToRunner(ConnectionOpened::Builder().connection(connection_).Build());
    ToRunner(RunnerMessageReceived::Builder()
                 .connection(connection_)
                 .message(AttachRunner::Builder().epoch(1).Build())
                 .Build());
    ToRunner(WorkerAnnounced::Builder()
                 .facts(*tables().workers_.Find(kName)->facts())
                 .sequence(1)
                 .Build());
  }

  // Lets time pass for both in small steps.
  void RunFor(Duration time) {
    for (const Instant end = now_ + time; now_ < end;) {
      now_ += kStep;
      fleet_.Advance(kStep);
      SchedulerTick tick(now_, random_, tables().counters_);
      AskForOrphanedRuns(tables(), tick);
      for (const SchedulerEffect& effect : tick.TakeEffects()) {
        const auto* sent = std::get_if<SendToRunner>(&effect);
        if (sent == nullptr) continue;
        ++questions_;
        ToRunner(RunnerMessageReceived::Builder()
                     .connection(connection_)
                     .message(sent->message())
                     .Build());
      }
      AnswerDuePolls();
      Handle(runner_.RunTick(now_, {}));
    }
  }

  SchedulerTables& tables() { return fleet_.tables(); }
  int questions() const { return questions_; }

  const MemberName kName = PlacementFleet::Name(0);

 private:
  static constexpr Duration kStep = milliseconds(10);

  void ToRunner(const RunnerInput& input) {
    Handle(runner_.RunTick(now_, {&input, 1}));
  }

  void Handle(const std::vector<RunnerEffect>& effects) {
    for (const RunnerEffect& effect : effects) {
      if (const auto* sent = std::get_if<SendToHolder>(&effect)) {
        const auto* report = std::get_if<WorkerReport>(&sent->message());
        if (report != nullptr) fleet_.Report(0, *report);
      }
      if (const auto* poll = std::get_if<WorkerPoll>(&effect)) {
        polls_.emplace(now_ + std::max(poll->wait(), kStep), poll->call());
      }
    }
  }

  void AnswerDuePolls() {
    while (!polls_.empty() && polls_.begin()->first <= now_) {
      const std::uint64_t call = polls_.begin()->second;
      polls_.erase(polls_.begin());
      ToRunner(WorkerAnswer::Builder()
                   .call(call)
                   .verdict(WorkerCallOutcome::kDone)
                   .born_ms(1)
                   .clock_ms(1)
                   .Build());
    }
  }

  const ConnectionId connection_{1};
  Instant now_ = kFleetNow;
  Random random_{1};
  PlacementFleet fleet_;
  RunnerNode runner_;
  // Status polls without an answer, by the time of the answer.
  std::multimap<Instant, std::uint64_t> polls_;
  int questions_ = 0;
};

RunKey SomeRun() {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(9).Build())
      .run(1)
      .Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(orphaned_runs)

// The end of a run that had to stop was lost. Its runner went on stopping it,
// and never found it missing between two stops, so that the run kept its
// capacity for ever.
BOOST_AUTO_TEST_CASE(a_stopped_run_without_an_end_frees_its_capacity) {
  VirtualCell cell(1, 1, 1);
  cell.RunFor(seconds(3));
  const std::uint64_t service = cell.Submit(JobOf(1, kAllCpu, true));
  cell.RunFor(seconds(3));
  BOOST_REQUIRE(cell.worker(0).running() == 1U);
  cell.worker(0).SetForgetful(true);
  cell.Cancel(service);
  cell.RunFor(seconds(1));
  BOOST_REQUIRE(cell.worker(0).running() == 0U);
  BOOST_TEST((TimeOfWholeCell(cell) < kMaxWait));
}

// The same for a run that is not assigned: its worker got no work for ever.
BOOST_AUTO_TEST_CASE(an_orphaned_run_without_an_end_does_not_close_its_worker) {
  VirtualCell cell(3, 1, 1);
  cell.RunFor(seconds(3));
  const std::uint64_t service = cell.Submit(JobOf(1, 1000, true));
  cell.RunFor(seconds(3));
  std::size_t busy = 0;
  while (cell.worker(busy).running() == 0) ++busy;
  std::size_t holder = *cell.Holder();
  if (busy == holder) {
    cell.KillAgent(holder);
    cell.RunFor(milliseconds(300));
    cell.StartAgent(holder);
    cell.RunFor(seconds(5));
    holder = *cell.Holder();
  }
  BOOST_REQUIRE(busy != holder);
  BOOST_REQUIRE(cell.worker(busy).running() == 1U);
  // The job ends while its worker cannot be told, and the next holder knows it
  // no more.
  cell.worker(busy).SetForgetful(true);
  cell.SetAgentPartitioned(busy, true, false);
  cell.Cancel(service);
  cell.RunFor(milliseconds(500));
  cell.KillAgent(holder);
  cell.RunFor(milliseconds(300));
  cell.StartAgent(holder);
  cell.SetAgentPartitioned(busy, false, false);
  for (int i = 0; i < 100 && cell.worker(busy).running() > 0; ++i) {
    cell.RunFor(milliseconds(50));
  }
  BOOST_REQUIRE(cell.worker(busy).running() == 0U);
  cell.RunFor(kMaxWait);
  const SchedulerTables& tables = cell.scheduler(*cell.Holder());
  BOOST_CHECK(FindClosedCause(AgentNamed(busy),
                              *tables.workers_.Find(AgentNamed(busy)), tables,
                              cell.now()) == ClosedCause::kOpen);
  BOOST_TEST((TimeOfWholeCell(cell) < kMaxWait));
}

// The holder waited for the end of a run that the runner did not have, and
// nobody asked: the worker got no work as long as the session lasted.
BOOST_AUTO_TEST_CASE(a_run_that_the_runner_does_not_have_is_asked_about) {
  HolderWithRunner cell;
  cell.RunFor(seconds(1));
  cell.tables().orphaned_runs_[cell.kName].insert(SomeRun());
  cell.RunFor(kMaxWait / 2);
  BOOST_TEST(cell.tables().orphaned_runs_.empty());
  BOOST_TEST(cell.questions() == 1);
}

// Before its worker has listed its runs in the session, a runner cannot say
// that a run is not there: the holder would start the task a second time.
BOOST_AUTO_TEST_CASE(a_runner_that_knows_no_runs_yet_lists_none) {
  Random random(1);
  RunnerTables tables;
  tables.session_ = HolderSession::Builder().epoch(1).synced(false).Build();
  RunnerTick tick(kFleetNow, random, tables.counters_);
  HandleStopRun(StopRun::Builder().run(SomeRun()).Build(), tables, tick);
  BOOST_TEST(!tables.full_report_due_);
}

// A question is a message to a runner and a call to its worker.
BOOST_AUTO_TEST_CASE(an_orphaned_run_is_asked_about_once_a_second) {
  PlacementFleet fleet(2);
  fleet.tables().orphaned_runs_[PlacementFleet::Name(0)].insert(SomeRun());
  std::size_t questions = 0;
  for (int i = 0; i < 200; ++i) {
    questions += fleet.CountStopCommands(AskForOrphanedRuns);
    fleet.Advance(milliseconds(50));
  }
  BOOST_TEST(questions >= 9U);
  BOOST_TEST(questions <= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
