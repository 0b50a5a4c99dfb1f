#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/runner/runner_node.h"

namespace quetzalline {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A job that could run has to run within this time: the users' limit for a job
// whose turn has come while there is capacity for it.
constexpr milliseconds kMaxWait{3000};

JobStep Step(std::int32_t count, std::int64_t cpu, milliseconds time) {
  return JobStep::Builder()
      .count(count)
      .cpu(cpu)
      .memory_mb(100)
      .estimate(time)
      .Build();
}

JobDefinition Job(const std::vector<JobStep>& steps) {
  return JobDefinition::Builder().spec("spec").steps(steps).Build();
}

JobDefinition TwoStepJob(milliseconds first_step_time) {
  return Job(
      {Step(2, 1000, first_step_time),
       JobStep::Builder(Step(2, 1000, milliseconds(200))).after({0}).Build()});
}

JobDefinition LongRunningJob(std::int32_t count) {
  return Job({JobStep::Builder(Step(count, 2000, milliseconds(400)))
                  .long_running(true)
                  .Build()});
}

bool IsDone(VirtualCell& cell, std::uint64_t job, std::int32_t step,
            std::int32_t index = 0) {
  return cell.log().IsDone(
      TaskKey::Builder().job(job).step(step).index(index).Build());
}

// A cell that has elected its holder. Reports every violated invariant at its
// end.
struct ReadyCell {
  explicit ReadyCell(std::size_t agents = 5, std::uint64_t seed = 1)
      : cell_(agents, 2, seed) {
    cell_.RunFor(seconds(3));
  }
  ~ReadyCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }
  VirtualCell cell_;
};

// Runs the cell until the condition holds. Returns the time that this took, or
// the limit.
template <typename Condition>
milliseconds TimeUntil(VirtualCell& cell, milliseconds limit,
                       Condition&& condition) {
  constexpr milliseconds kStep{50};
  milliseconds passed{0};
  while (passed < limit && !condition()) {
    cell.RunFor(kStep);
    passed += kStep;
  }
  return passed;
}

std::size_t RunningTasks(VirtualCell& cell) {
  std::size_t running = 0;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    running += cell.worker(i).running();
  }
  return running;
}

std::size_t QuarantinedWorkers(VirtualCell& cell) {
  std::size_t quarantined = 0;
  for (const auto& [name, worker] : cell.scheduler(*cell.Holder()).workers_) {
    if (worker.rests_until() > cell.now()) ++quarantined;
  }
  return quarantined;
}

// Puts a configuration without queues in force.
void RemoveQueues(VirtualCell& cell) {
  cell.kv().Put(std::string(kConfigurationKey),
                SchedulerConfiguration::Builder()
                    .version(2)
                    .services({ServiceName("service")})
                    .Build());
}

// Kills the holder's process and starts it again, so that another one takes
// over.
void RestartHolder(VirtualCell& cell) {
  const std::size_t holder = *cell.Holder();
  cell.KillAgent(holder);
  cell.RunFor(milliseconds(300));
  cell.StartAgent(holder);
}

// Kills six of eleven agents, and their workers, for good.
void LoseMajority(VirtualCell& cell) {
  const std::size_t holder = *cell.Holder();
  int lost = 0;
  for (std::size_t i = 0; i < cell.agents() && lost < 6; ++i) {
    if (i == holder) continue;
    ++lost;
    cell.KillAgent(i);
    cell.worker(i).Crash();
  }
}

// Restarts all workers, so that they give the current time as their start.
void RestartWorkers(VirtualCell& cell) {
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).Crash();
    cell.worker(i).Restart();
  }
  cell.RunFor(seconds(3));
}

RunKey MakeRunKey(std::uint64_t job, std::int32_t index) {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(job).index(index).Build())
      .run(1)
      .Build();
}

// A runner whose reports go to the holder of a fleet, and whose worker answers
// as the test says. The clock advances with every input.
class RunnerUnderTest {
 public:
  explicit RunnerUnderTest(PlacementFleet& fleet)
      : fleet_(fleet), node_(RunnerPolicy(), 1) {}

  // Connects the runner and announces its worker.
  void Attach() {
    Post(ConnectionOpened::Builder().connection(holder_).Build());
    Post(RunnerMessageReceived::Builder()
             .connection(holder_)
             .message(AttachRunner::Builder().epoch(1).Build())
             .Build());
    Post(WorkerAnnounced::Builder()
             .facts(WorkerDescription::Builder()
                        .worker("agent-0")
                        .born_ms(1)
                        .service(ServiceName("service"))
                        .cpu(kFleetMillicores)
                        .memory_mb(250'000)
                        .Build())
             .sequence(1)
             .Build());
  }

  // Starts a run; its call ends with the outcome.
  void Start(const RunKey& run, WorkerCallOutcome outcome) {
    Post(RunnerMessageReceived::Builder()
             .connection(holder_)
             .message(StartRun::Builder()
                          .run(run)
                          .born_ms(1)
                          .cpu(1000)
                          .memory_mb(100)
                          .Build())
             .Build());
    Post(Answer(last_start_, outcome).Build());
  }

  void AnswerPoll(std::uint64_t call, const std::vector<RunKey>& running,
                  const std::vector<RunEnd>& ends, bool more_ends = false) {
    std::vector<WorkerRun> runs;
    for (const RunKey& run : running) {
      runs.push_back(WorkerRun::Builder()
                         .progress(RunProgress::Builder().run(run).Build())
                         .Build());
    }
    Post(Answer(call, WorkerCallOutcome::kDone)
             .running(std::move(runs))
             .ends(ends)
             .more_ends(more_ends)
             .Build());
  }

  std::uint64_t LastPoll() const { return last_poll_; }
  const Table<TaskKey, TrackedRun>& runs() const {
    return node_.tables().runs_;
  }

 private:
  static WorkerAnswer::Builder Answer(std::uint64_t call,
                                      WorkerCallOutcome outcome) {
    return WorkerAnswer::Builder().call(call).verdict(outcome).born_ms(
        outcome == WorkerCallOutcome::kLost ? 0 : 1);
  }

  void Post(const RunnerInput& input) {
    now_ += milliseconds(100);
    for (const RunnerEffect& effect : node_.RunTick(now_, {&input, 1})) {
      if (const auto* poll = std::get_if<WorkerPoll>(&effect)) {
        last_poll_ = poll->call();
      }
      if (const auto* start = std::get_if<WorkerStart>(&effect)) {
        last_start_ = start->call();
      }
      const auto* sent = std::get_if<SendToHolder>(&effect);
      if (sent == nullptr) continue;
      if (const auto* report = std::get_if<WorkerReport>(&sent->message())) {
        Forward(fleet_.Report(0, *report));
      }
    }
  }

  // Passes the holder's commands to the runner.
  void Forward(const std::vector<SchedulerEffect>& effects) {
    for (const SchedulerEffect& effect : effects) {
      const auto* sent = std::get_if<SendToRunner>(&effect);
      if (sent == nullptr) continue;
      Post(RunnerMessageReceived::Builder()
               .connection(holder_)
               .message(sent->message())
               .Build());
    }
  }

  PlacementFleet& fleet_;
  const ConnectionId holder_{1};
  RunnerNode node_;
  Instant now_ = kFleetNow;
  std::uint64_t last_poll_ = 0;
  std::uint64_t last_start_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(liveness)

// The tasks of one job fail on every worker, by their own fault. If that keeps
// other jobs off all workers, they wait while every worker is free.
BOOST_AUTO_TEST_CASE(failures_of_one_job_delay_no_other_job) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(100);
  }
  const std::uint64_t failing =
      cell.Submit(Job({Step(80, 1000, milliseconds(400))}));
  cell.RunFor(milliseconds(700));
  BOOST_TEST(cell.log().StartsOf(failing) >= 80);
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(0);
  }
  const std::uint64_t job = cell.Submit(Job({Step(1, 500, milliseconds(100))}));
  const milliseconds waited = TimeUntil(
      cell, seconds(30), [&] { return cell.log().StartsOf(job) > 0; });
  BOOST_TEST(waited.count() < kMaxWait.count());
}

// Many jobs whose tasks fail by their own fault keep coming. They say nothing
// about a single worker, so other work must not wait for free workers.
BOOST_AUTO_TEST_CASE(a_wave_of_failing_jobs_delays_no_other_job) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(100);
  }
  milliseconds longest{0};
  for (int wave = 0; wave < 10; ++wave) {
    for (int i = 0; i < 8; ++i) {
      cell.Submit(Job({Step(5, 500, milliseconds(200))}));
    }
    cell.RunFor(seconds(2));
    BOOST_TEST(2 * QuarantinedWorkers(cell) <= cell.agents());
    const std::uint64_t job =
        cell.Submit(Job({Step(1, 500, milliseconds(100))}));
    longest = std::max(longest, TimeUntil(cell, seconds(30), [&] {
                         return cell.log().StartsOf(job) > 0;
                       }));
  }
  BOOST_TEST(longest.count() < kMaxWait.count());
}

// One worker fails every task. While others are free, it gets none, so that the
// attempts of tasks are not used up there.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_every_task_is_avoided) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.worker(0).SetFailPercent(100);
  cell.Submit(Job({Step(40, 1000, milliseconds(200))}));
  cell.RunFor(seconds(1));
  for (int i = 0; i < 20; ++i) {
    cell.Submit(Job({Step(10, 1000, milliseconds(200))}));
    cell.RunFor(milliseconds(40));
    BOOST_TEST(cell.worker(0).running() == 0U);
  }
}

// A task can run only on a worker in quarantine. It may wait for the end of the
// quarantine, but not for ever.
BOOST_AUTO_TEST_CASE(an_overdue_task_uses_a_quarantined_worker) {
  PlacementFleet fleet(4);
  SchedulerTables& tables = fleet.tables();
  const MemberName name = PlacementFleet::Name(0);
  const WorkerRow row = *tables.workers_.Find(name);
  tables.workers_.Put(name, WorkerRow::Builder(row)
                                .facts(WorkerDescription::Builder(*row.facts())
                                           .labels({"label"})
                                           .Build())
                                .rests_until(kFleetNow + seconds(16))
                                .Build());
  const JobStep step = JobStep::Builder(Step(1, 1000, milliseconds(100)))
                           .required_label("label")
                           .Build();
  const JobStep gang = JobStep::Builder(step).gang(true).Build();
  const std::uint64_t fresh = fleet.AddJob(step);
  const std::uint64_t fresh_gang = fleet.AddJob(gang);
  const std::uint64_t overdue = fleet.AddJob(step, milliseconds(1500));
  const std::uint64_t overdue_gang = fleet.AddJob(gang, milliseconds(1500));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(fresh) == 1U);
  BOOST_TEST(fleet.Waiting(fresh_gang) == 1U);
  BOOST_TEST(fleet.Waiting(overdue) == 0U);
  BOOST_TEST(fleet.Waiting(overdue_gang) == 0U);
}

// A long-running task starts on a quarantined worker at once if there is no
// other, and on another if there is one.
BOOST_AUTO_TEST_CASE(long_running_tasks_use_a_quarantined_worker_last) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const MemberName name = PlacementFleet::Name(0);
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .rests_until(kFleetNow + seconds(16))
                                .Build());
  const JobStep step =
      JobStep::Builder(Step(1, kFleetMillicores, milliseconds(100)))
          .long_running(true)
          .Build();
  fleet.AddJob(step);
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 0U);
  fleet.AddJob(step);
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 1U);
}

// A new configuration removes the queue of an accepted job. The next holder
// has to carry the job out all the same.
BOOST_AUTO_TEST_CASE(a_takeover_keeps_jobs_of_a_removed_queue) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job = cell.Submit(TwoStepJob(seconds(3)));
  cell.RunFor(milliseconds(300));
  BOOST_REQUIRE(cell.IsAccepted(job));
  RemoveQueues(cell);
  cell.RunFor(milliseconds(500));
  RestartHolder(cell);
  cell.RunFor(seconds(60));
  BOOST_TEST(IsDone(cell, job, 0));
  BOOST_TEST(IsDone(cell, job, 1));
}

// After a takeover the number of attempts has to be that of the job's queue,
// even if the queue was removed. Otherwise the first failure ends the job.
BOOST_AUTO_TEST_CASE(a_takeover_keeps_the_attempts_of_a_removed_queue) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(100);
  }
  const std::uint64_t job = cell.Submit(Job({Step(1, 1000, seconds(4))}));
  cell.RunFor(milliseconds(300));
  BOOST_REQUIRE(cell.log().StartsOf(job) == 1);
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    cell.worker(i).SetFailPercent(0);
  }
  RemoveQueues(cell);
  cell.RunFor(milliseconds(500));
  RestartHolder(cell);
  cell.RunFor(seconds(60));
  BOOST_TEST(cell.log().StartsOf(job) == 2);
  BOOST_TEST(IsDone(cell, job, 0));
}

// An entry passes a job on under the configuration that it knows, while the
// holder already knows the next one, which removes the job's queue. A job that
// the holder accepts nevertheless has to run.
BOOST_AUTO_TEST_CASE(a_job_accepted_as_its_queue_is_removed_runs) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  // The configuration reaches the holder between the forwarding of the job and
  // its arrival.
  RemoveQueues(cell);
  cell.RunFor(microseconds(1500));
  const std::uint64_t job =
      cell.Submit(Job({Step(1, 500, milliseconds(100))}), 1);
  cell.RunFor(seconds(60));
  BOOST_TEST(cell.IsAccepted(job) == IsDone(cell, job, 0));
}

// The clock of an instance steps back, and its next worker gives an earlier
// start than the last one. The worker answers all calls, so its tasks must not
// stay assigned to the one that is gone.
BOOST_AUTO_TEST_CASE(a_worker_that_gives_an_earlier_start_is_used) {
  ReadyCell ready(3);
  VirtualCell& cell = ready.cell_;
  RestartWorkers(cell);
  const std::uint64_t job = cell.Submit(LongRunningJob(3));
  cell.RunFor(seconds(2));
  BOOST_REQUIRE(RunningTasks(cell) == 3U);
  std::size_t busy = 0;
  while (cell.worker(busy).running() == 0) ++busy;
  const std::int64_t born_ms = cell.worker(busy).born_ms();
  cell.worker(busy).Replace("next-worker", born_ms - 1);
  BOOST_REQUIRE(RunningTasks(cell) < 3U);
  cell.RunFor(seconds(60));
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_TEST(cell.runner(busy).facts_->worker() == "next-worker");
  BOOST_TEST(cell.log().StartsOf(job) > 3);
}

// A worker restarts under its name with an earlier start while a run on it is
// being stopped. The repeated stop calls are answered, but not by the worker
// that had the run.
BOOST_AUTO_TEST_CASE(answers_of_an_earlier_start_do_not_keep_a_worker_alive) {
  ReadyCell ready(3);
  VirtualCell& cell = ready.cell_;
  RestartWorkers(cell);
  const std::uint64_t stopped = cell.Submit(LongRunningJob(1));
  const std::uint64_t other = cell.Submit(LongRunningJob(3));
  cell.RunFor(seconds(2));
  BOOST_REQUIRE(RunningTasks(cell) == 4U);
  std::size_t busy = 0;
  while (cell.worker(busy).running() < 2) ++busy;
  cell.Cancel(stopped);
  cell.RunFor(milliseconds(50));
  cell.worker(busy).Replace("worker-" + std::to_string(busy),
                            cell.worker(busy).born_ms() - 1);
  cell.RunFor(seconds(60));
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_TEST(cell.log().StartsOf(other) > 3);
}

// The next worker at an address refuses a call that was meant for the last one
// and says when it started itself. The runner must not take that start for one
// of the last worker, since it would then ignore the next one.
BOOST_AUTO_TEST_CASE(a_refusal_of_the_next_worker_does_not_hide_it) {
  ReadyCell ready(3);
  VirtualCell& cell = ready.cell_;
  const std::uint64_t stopped = cell.Submit(LongRunningJob(1));
  cell.Submit(LongRunningJob(3));
  cell.RunFor(seconds(2));
  BOOST_REQUIRE(RunningTasks(cell) == 4U);
  std::size_t busy = 0;
  while (cell.worker(busy).running() < 2) ++busy;
  cell.Cancel(stopped);
  cell.RunFor(milliseconds(50));
  const std::int64_t born_ms = cell.worker(busy).born_ms();
  cell.worker(busy).Replace("next-worker", born_ms + 5000);
  cell.RunFor(seconds(60));
  BOOST_TEST(RunningTasks(cell) == 3U);
  BOOST_REQUIRE(cell.runner(busy).facts_.has_value());
  BOOST_TEST(cell.runner(busy).facts_->worker() == "next-worker");
}

// A machine is lost for good together with the holder. The next holder waits
// until the leases there have expired; the one after it need not wait again.
BOOST_AUTO_TEST_CASE(a_second_takeover_does_not_wait_for_the_same_loss) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::size_t lost = *cell.Holder() == 0 ? 1 : 0;
  cell.KillAgent(lost);
  cell.worker(lost).Crash();
  RestartHolder(cell);
  cell.RunFor(seconds(30));
  const std::uint64_t job = cell.Submit(TwoStepJob(milliseconds(500)));
  cell.RunFor(milliseconds(200));
  BOOST_REQUIRE(cell.IsAccepted(job));
  RestartHolder(cell);
  TimeUntil(cell, seconds(10), [&] { return cell.Holder().has_value(); });
  const milliseconds waited =
      TimeUntil(cell, seconds(30), [&] { return IsDone(cell, job, 1); });
  BOOST_TEST(waited.count() < kMaxWait.count());
}

// Most workers are gone for good while their agents run on and restart. After
// a takeover, agents without a worker have nothing to list.
BOOST_AUTO_TEST_CASE(a_takeover_does_not_wait_for_agents_without_a_worker) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::size_t holder = *cell.Holder();
  int lost = 0;
  for (std::size_t i = 0; i < cell.agents(); ++i) {
    if (i == holder || lost == 3) continue;
    ++lost;
    cell.worker(i).Crash();
    cell.KillAgent(i);
    cell.StartAgent(i);
  }
  cell.RunFor(seconds(60));
  const std::uint64_t job = cell.Submit(TwoStepJob(milliseconds(500)));
  cell.RunFor(milliseconds(200));
  BOOST_REQUIRE(cell.IsAccepted(job));
  RestartHolder(cell);
  TimeUntil(cell, seconds(10), [&] { return cell.Holder().has_value(); });
  const milliseconds waited =
      TimeUntil(cell, seconds(60), [&] { return IsDone(cell, job, 1); });
  BOOST_TEST(waited.count() < kMaxWait.count());
}

// All tasks of a gang have ended, but the end of one is lost with its worker
// before a new holder takes over. The gang must not wait for tasks that are
// done already.
BOOST_AUTO_TEST_CASE(a_gang_whose_ends_are_partly_lost_completes) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t job =
      cell.Submit(Job({JobStep::Builder(Step(2, 16000, milliseconds(500)))
                           .gang(true)
                           .Build()}));
  cell.RunFor(milliseconds(200));
  BOOST_REQUIRE(RunningTasks(cell) == 2U);
  std::size_t busy = 0;
  while (cell.worker(busy).running() == 0) ++busy;
  // The ends cannot be stored, so the workers keep them.
  cell.kv().SetUnavailable(true);
  cell.RunFor(milliseconds(600));
  BOOST_REQUIRE(RunningTasks(cell) == 0U);
  const std::size_t holder = *cell.Holder();
  cell.KillAgent(holder);
  cell.worker(busy).Crash();
  cell.RunFor(milliseconds(300));
  cell.kv().SetUnavailable(false);
  cell.worker(busy).Restart();
  cell.StartAgent(holder);
  cell.RunFor(seconds(60));
  cell.QueryJob(job);
  cell.RunFor(milliseconds(100));
  BOOST_TEST((cell.StateOf(job) == JobState::kCompleted));
}

// The holder acknowledges an end just as the connection to the runner closes.
// The worker lists the end until it is acknowledged again.
BOOST_AUTO_TEST_CASE(a_lost_acknowledgement_is_sent_again) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  cell.Submit(Job({Step(1, 500, milliseconds(500))}));
  cell.RunFor(milliseconds(300));
  std::size_t busy = 0;
  while (cell.worker(busy).running() == 0) ++busy;
  const MemberName name("agent-" + std::to_string(busy));
  const SchedulerTables& holder = cell.scheduler(*cell.Holder());
  for (int i = 0; i < 20'000; ++i) {
    if (holder.workers_.Find(name)->ends_noted() > 0) break;
    cell.RunFor(microseconds(100));
  }
  BOOST_REQUIRE(holder.workers_.Find(name)->ends_noted() == 1);
  BOOST_REQUIRE(cell.runner(busy).ends_.size() == 1U);
  cell.CloseConnections(busy);
  cell.RunFor(seconds(60));
  BOOST_TEST(cell.runner(busy).ends_.empty());
}

// An answer to a status poll that was overtaken by a later one lists a run
// whose end is known. The holder must not wait for that end again, since
// nothing is placed on a worker with a run that it does not account for.
BOOST_AUTO_TEST_CASE(an_overtaken_list_does_not_shut_a_worker_out) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(Step(2, 1000, seconds(9)), 0);
  RunnerUnderTest runner(fleet);
  runner.Attach();
  runner.AnswerPoll(runner.LastPoll(), {}, {});
  const RunKey ended = MakeRunKey(job, 0);
  const RunKey lost = MakeRunKey(job, 1);
  runner.Start(ended, WorkerCallOutcome::kDone);
  const std::uint64_t long_poll = runner.LastPoll();
  runner.Start(lost, WorkerCallOutcome::kLost);
  const std::uint64_t fence_poll = runner.LastPoll();
  BOOST_REQUIRE(fence_poll != long_poll);
  const RunEnd end =
      RunEnd::Builder().number(1).run(ended).outcome(RunOutcome::kDone).Build();
  runner.AnswerPoll(long_poll, {}, {end});
  runner.AnswerPoll(fence_poll, {ended}, {});
  for (int i = 0; i < 20; ++i) {
    runner.AnswerPoll(runner.LastPoll(), {}, {end});
  }
  BOOST_TEST(runner.runs().empty());
  BOOST_TEST(fleet.tables().orphaned_runs_.empty());
}

// A runner sends a complete report while its worker lists only some of its
// ends. Once it lists the rest, the holder has to use the worker again.
BOOST_AUTO_TEST_CASE(a_report_with_more_ends_is_followed_by_a_complete_one) {
  PlacementFleet fleet(1);
  RunnerUnderTest runner(fleet);
  runner.Attach();
  runner.AnswerPoll(runner.LastPoll(), {}, {});
  const MemberName name = PlacementFleet::Name(0);
  BOOST_REQUIRE(fleet.tables().workers_.Find(name)->reported());
  const RunKey unknown = MakeRunKey(7, 0);
  const RunEnd end = RunEnd::Builder()
                         .number(1)
                         .run(MakeRunKey(8, 0))
                         .outcome(RunOutcome::kStopped)
                         .Build();
  runner.AnswerPoll(runner.LastPoll(), {unknown}, {end}, true);
  for (int i = 0; i < 20; ++i) runner.AnswerPoll(runner.LastPoll(), {}, {});
  BOOST_TEST(runner.runs().empty());
  BOOST_TEST(fleet.tables().workers_.Find(name)->reported());
}

// A job that fits on no worker must not preempt long-running tasks, since
// stopping them makes no room for it.
BOOST_AUTO_TEST_CASE(a_job_that_fits_nowhere_preempts_nothing) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t service_job = cell.Submit(LongRunningJob(3));
  cell.Submit(Job({Step(1, 20'000, milliseconds(100))}));
  cell.RunFor(seconds(60));
  BOOST_TEST(cell.log().StartsOf(service_job) == 3);
}

// A job that is far too late is placed after long-running tasks. They take the
// room again that is made for it, so it must not preempt them.
BOOST_AUTO_TEST_CASE(a_job_that_is_placed_last_preempts_nothing) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const std::uint64_t service_job =
      cell.Submit(Job({JobStep::Builder(Step(5, 12'000, milliseconds(400)))
                           .long_running(true)
                           .Build()}));
  cell.RunFor(seconds(1));
  cell.Submit(Job({Step(1, 8000, milliseconds(100))}));
  cell.RunFor(seconds(60));
  BOOST_TEST(cell.log().StartsOf(service_job) == 5);
}

// The workers of another service are full. That says nothing about the room
// that a best-effort task has on its own service's workers.
BOOST_AUTO_TEST_CASE(a_full_service_does_not_delay_work_of_another) {
  PlacementFleet fleet(4);
  SchedulerTables& tables = fleet.tables();
  for (int worker = 1; worker < 4; ++worker) {
    const WorkerRow row = *tables.workers_.Find(PlacementFleet::Name(worker));
    tables.workers_.Put(PlacementFleet::Name(worker),
                        WorkerRow::Builder(row)
                            .facts(WorkerDescription::Builder(*row.facts())
                                       .service(ServiceName("other"))
                                       .Build())
                            .Build());
    fleet.AddRunning(Step(1, kFleetMillicores, seconds(60)), worker);
  }
  const JobStep service = JobStep::Builder(Step(1, 8000, milliseconds(100)))
                              .long_running(true)
                              .image("service")
                              .target(milliseconds(100))
                              .Build();
  fleet.AddRunning(service, 0);
  fleet.Observe(0, "batch", 0, "service", 95);
  const JobStep batch = JobStep::Builder(Step(1, 1000, seconds(1)))
                            .image("batch")
                            .fills(true)
                            .Build();
  const std::uint64_t job = fleet.AddJob(batch, seconds(30));
  fleet.Place();
  BOOST_TEST(fleet.Waiting(job) == 0U);
}

// A caller repeats a submission while the commit of its job is in flight. The
// commit answers the repetition too.
BOOST_AUTO_TEST_CASE(a_submission_during_the_commit_of_its_job_is_answered) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const SchedulerTables& holder = cell.scheduler(*cell.Holder());
  const std::uint64_t job = cell.Submit(Job({Step(1, 500, seconds(30))}), 1);
  for (int i = 0; i < 1000 && !holder.commit_; ++i) {
    cell.RunFor(microseconds(100));
  }
  BOOST_REQUIRE(holder.commit_.has_value());
  cell.Resubmit(job, 1);
  cell.RunFor(seconds(10));
  BOOST_TEST(cell.IsAccepted(job));
  BOOST_TEST(holder.callers_.empty());
}

// A caller repeats a cancellation while the commit of the first one is in
// flight. The commit answers the repetition too.
BOOST_AUTO_TEST_CASE(a_cancellation_during_the_commit_of_the_end_is_answered) {
  ReadyCell ready;
  VirtualCell& cell = ready.cell_;
  const SchedulerTables& holder = cell.scheduler(*cell.Holder());
  const std::uint64_t job = cell.Submit(Job({Step(1, 500, seconds(30))}));
  cell.RunFor(milliseconds(500));
  BOOST_REQUIRE(cell.IsAccepted(job));
  cell.Cancel(job);
  for (int i = 0; i < 1000 && !holder.commit_; ++i) {
    cell.RunFor(microseconds(100));
  }
  BOOST_REQUIRE(holder.commit_.has_value());
  cell.Cancel(job);
  cell.RunFor(seconds(10));
  BOOST_TEST(holder.callers_.empty());
}

// Most of the machines that ever were members are gone for good, and nothing
// happens but the submission of one job.
BOOST_AUTO_TEST_CASE(a_minority_of_the_members_carries_out_jobs) {
  ReadyCell ready(11);
  VirtualCell& cell = ready.cell_;
  LoseMajority(cell);
  cell.RunFor(seconds(60));
  const std::uint64_t job = cell.Submit(TwoStepJob(milliseconds(500)));
  const milliseconds waited =
      TimeUntil(cell, seconds(60), [&] { return IsDone(cell, job, 1); });
  BOOST_TEST(waited.count() < kMaxWait.count());
}

// Most of the machines that ever were members are gone for good, as the holder
// knows, when another one takes over.
BOOST_AUTO_TEST_CASE(a_takeover_in_a_minority_carries_out_jobs) {
  ReadyCell ready(11);
  VirtualCell& cell = ready.cell_;
  LoseMajority(cell);
  cell.RunFor(seconds(60));
  const std::uint64_t job = cell.Submit(TwoStepJob(milliseconds(500)));
  cell.RunFor(milliseconds(200));
  RestartHolder(cell);
  TimeUntil(cell, seconds(10), [&] { return cell.Holder().has_value(); });
  const milliseconds waited =
      TimeUntil(cell, seconds(60), [&] { return IsDone(cell, job, 1); });
  BOOST_TEST(waited.count() < kMaxWait.count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
