#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "support/placement_fleet.h"
#include "systems/runner/execute_run_commands.h"
#include "systems/runner/runner_node.h"
#include "systems/runner/send_commands.h"
#include "systems/runner/watch_worker.h"
#include "systems/scheduler/commit_progress.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep BatchStep(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(1000)
      .memory_mb(100)
      .estimate(milliseconds(500))
      .Build();
}

RunKey MakeRunKey(std::uint64_t job, std::int32_t index, std::int64_t run) {
  return RunKey::Builder()
      .task(TaskKey::Builder().job(job).index(index).Build())
      .run(run)
      .Build();
}

RunEnd SuccessfulRunEnd(std::int64_t number, const RunKey& run) {
  return RunEnd::Builder()
      .number(number)
      .run(run)
      .outcome(RunOutcome::kDone)
      .Build();
}

WorkerDescription IncarnationStartedAt(std::int64_t born_ms) {
  return WorkerDescription::Builder()
      .worker("agent-0")
      .born_ms(born_ms)
      .service(ServiceName("service"))
      .cpu(kFleetMillicores)
      .memory_mb(250'000)
      .Build();
}

// Returns the completion numbers up to which the effects acknowledge.
std::vector<std::int64_t> AcknowledgedNumbers(
    const std::vector<SchedulerEffect>& effects) {
  std::vector<std::int64_t> acknowledged;
  for (const SchedulerEffect& effect : effects) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* ack = std::get_if<AcknowledgeRunEnds>(&sent->message());
    if (ack != nullptr) acknowledged.push_back(ack->up_to());
  }
  return acknowledged;
}

// A runner whose worker has two cores, one of which a run occupies.
struct TwoCoreRunner {
  TwoCoreRunner() : random_(1) {
    tables_.facts_ = WorkerDescription::Builder()
                         .worker("worker")
                         .born_ms(1)
                         .cpu(2000)
                         .memory_mb(1000)
                         .Build();
    first_facts_ = tables_.facts_;
    tables_.session_ = HolderSession::Builder().epoch(1).synced(true).Build();
    tables_.worker_answered_at_ = kFleetNow;
    Start(1, 1000);
  }

  // Returns true if the runner passed the start on to its worker.
  bool Start(std::uint64_t job, std::int64_t cpu) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    HandleStartRun(StartRun::Builder()
                       .run(MakeRunKey(job, 0, 1))
                       .born_ms(1)
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
    HandleStopRun(StopRun::Builder().run(MakeRunKey(job, 0, 1)).Build(),
                  tables_, tick);
    SendCommands(tables_, tick);
  }

  void Announce(const std::string& worker, std::int64_t born_ms) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    HandleWorkerAnnounced(WorkerAnnounced::Builder()
                              .facts(WorkerDescription::Builder(*first_facts_)
                                         .worker(worker)
                                         .born_ms(born_ms)
                                         .Build())
                              .sequence(++last_sequence_)
                              .Build(),
                          tables_, tick);
  }

  void CheckAnswer(WorkerCallOutcome outcome, std::int64_t born_ms) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    CheckWorkerIncarnation(
        WorkerAnswer::Builder().verdict(outcome).born_ms(born_ms).Build(),
        tables_, tick);
  }

  // Answers the last call and returns the runs that were refused.
  std::vector<RunRefused> AnswerStart(std::uint64_t job,
                                      WorkerCallOutcome outcome) {
    RunnerTick tick(kFleetNow, random_, tables_.counters_);
    const WorkerAnswer answer =
        WorkerAnswer::Builder().verdict(outcome).Build();
    if (CheckWorkerIncarnation(answer, tables_, tick)) {
      HandleStartAnswer(MakeRunKey(job, 0, 1), CurrentFencingToken(tables_),
                        answer, tables_, tick);
    }
    return tables_.refusals_;
  }

  // Returns true if the runner knows this incarnation of its worker.
  bool Knows(const std::string& worker, std::int64_t born_ms) const {
    return tables_.facts_ && tables_.facts_->worker() == worker &&
           tables_.facts_->born_ms() == born_ms;
  }

  Random random_;
  RunnerTables tables_;
  std::optional<WorkerDescription> first_facts_;
  std::int64_t last_sequence_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_reports)

// The announcement with which an earlier incarnation shut down may arrive late.
// It must not end the next one under the same id, whose tasks would start
// elsewhere while they run.
BOOST_AUTO_TEST_CASE(a_late_departure_ends_no_later_incarnation) {
  TwoCoreRunner runner;
  const auto leave = [&](std::int64_t born_ms) {
    RunnerTick tick(kFleetNow, runner.random_, runner.tables_.counters_);
    HandleWorkerLeft(
        WorkerLeft::Builder().worker("worker").born_ms(born_ms).Build(),
        runner.tables_, tick);
    return !runner.tables_.facts_;
  };
  runner.Announce("worker", 2);
  BOOST_TEST(!leave(1));
  BOOST_TEST(runner.Knows("worker", 2));
  BOOST_TEST(!runner.tables_.worker_left_);
  BOOST_TEST(leave(2));
  BOOST_TEST(runner.tables_.worker_left_);
  // One that names no incarnation counts for the known one.
  TwoCoreRunner other;
  RunnerTick tick(kFleetNow, other.random_, other.tables_.counters_);
  HandleWorkerLeft(WorkerLeft::Builder().worker("worker").Build(),
                   other.tables_, tick);
  BOOST_TEST(!other.tables_.facts_);
}

// A start whose worker could not be reached for certain has not run. Its task
// must not wait until the leases of the worker have expired.
BOOST_AUTO_TEST_CASE(a_start_that_was_not_sent_is_refused_at_once) {
  TwoCoreRunner runner;
  const auto refused = runner.AnswerStart(1, WorkerCallOutcome::kNotSent);
  BOOST_REQUIRE(refused.size() == 1);
  BOOST_TEST((refused.front().run() == MakeRunKey(1, 0, 1)));
  BOOST_TEST(!runner.tables_.incarnation_confirmed_);
  TwoCoreRunner unanswered;
  BOOST_TEST(unanswered.AnswerStart(1, WorkerCallOutcome::kLost).empty());
}

// Every incarnation of a worker numbers its completions from one. The commit
// of a completion of the earlier incarnation must not acknowledge the one with
// the same number of the next.
BOOST_AUTO_TEST_CASE(completions_of_a_new_incarnation_await_their_own_commit) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job = fleet.AddRunning(BatchStep(2), 0);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({SuccessfulRunEnd(1, MakeRunKey(job, 0, 1))})
                      .Build());
  BOOST_REQUIRE(tables.unacknowledged_completions_.size() == 1U);
  CommitBatch batch;
  batch.jobs_ = {job};
  batch.completions_ = tables.unacknowledged_completions_;
  tables.commit_ = batch;
  tables.dirty_jobs_.Clear();

  fleet.Report(
      0,
      WorkerReport::Builder().number(2).whole(true).worker_left(true).Build());
  tables.tasks_.Put(MakeRunKey(job, 1, 2).task(),
                    JobTask::Builder()
                        .stage(TaskStage::kAssigned)
                        .step(BatchStep(2))
                        .worker(MemberName("agent-0"))
                        .run(2)
                        .Build());
  const auto effects =
      fleet.Report(0, WorkerReport::Builder()
                          .number(3)
                          .whole(true)
                          .facts(IncarnationStartedAt(2))
                          .ends({SuccessfulRunEnd(1, MakeRunKey(job, 1, 2))})
                          .Build());
  BOOST_TEST(AcknowledgedNumbers(effects).empty());

  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  HandleCommit(KvsCommitted::Builder().revision(7).Build(), tables, tick);
  BOOST_TEST(AcknowledgedNumbers(tick.TakeEffects()).empty());
}

// Two runs of a task have ended as done, the second while the commit that
// stores the first is in flight. Acknowledged at once, it would be forgotten by
// its worker, and if the commit failed, the next holder would start the task
// again.
BOOST_AUTO_TEST_CASE(a_second_end_awaits_the_commit_of_the_first) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job = fleet.AddRunning(BatchStep(2), 0);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({SuccessfulRunEnd(1, MakeRunKey(job, 0, 1))})
                      .Build());
  CommitBatch batch;
  batch.jobs_ = {job};
  batch.completions_ = tables.unacknowledged_completions_;
  tables.commit_ = batch;
  tables.dirty_jobs_.Clear();
  const auto effects =
      fleet.Report(1, WorkerReport::Builder()
                          .number(1)
                          .ends({SuccessfulRunEnd(1, MakeRunKey(job, 0, 2))})
                          .Build());
  BOOST_TEST(AcknowledgedNumbers(effects).empty());
  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  HandleCommit(KvsCommitted::Builder().revision(7).Build(), tables, tick);
  BOOST_TEST((AcknowledgedNumbers(tick.TakeEffects()) ==
              std::vector<std::int64_t>{1, 1}));
  BOOST_TEST(tables.unacknowledged_completions_.empty());
}

// A run is stopped because an earlier run of its task completed after all. It
// occupies capacity until its own end is reported; counting it as free sooner
// would overcommit the worker.
BOOST_AUTO_TEST_CASE(a_superseded_run_occupies_capacity_until_it_ends) {
  PlacementFleet fleet(2);
  const std::uint64_t job = fleet.AddRunning(BatchStep(1), 0);
  fleet.tables().tasks_.Put(MakeRunKey(job, 0, 2).task(),
                            JobTask::Builder()
                                .stage(TaskStage::kAssigned)
                                .step(BatchStep(1))
                                .worker(MemberName("agent-0"))
                                .run(2)
                                .Build());
  fleet.Report(1, WorkerReport::Builder()
                      .number(1)
                      .ends({SuccessfulRunEnd(1, MakeRunKey(job, 0, 1))})
                      .Build());
  fleet.AddJob(BatchStep(20));
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) == 0U);
  BOOST_TEST(fleet.TasksOnWorker(1) == 20U);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({RunEnd::Builder()
                                 .number(1)
                                 .run(MakeRunKey(job, 0, 2))
                                 .outcome(RunOutcome::kStopped)
                                 .Build()})
                      .Build());
  fleet.AddJob(BatchStep(20));
  fleet.Place();
  BOOST_TEST(fleet.TasksOnWorker(0) > 0U);
}

// The tasks of a gang end together, so that one successful end stands for all
// of them, whatever the holder knows of their runs.
BOOST_AUTO_TEST_CASE(the_end_of_one_task_of_a_gang_ends_the_gang) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const JobStep gang = JobStep::Builder(BatchStep(3)).gang(true).Build();
  const std::uint64_t job = fleet.AddRunning(gang, 0);
  tables.jobs_.Put(
      job, JobRow::Builder(*tables.jobs_.Find(job)).tasks_left(3).Build());
  const TaskKey lost = MakeRunKey(job, 1, 0).task();
  const TaskKey restarted = MakeRunKey(job, 2, 2).task();
  tables.tasks_.Put(
      lost, JobTask::Builder().stage(TaskStage::kInDoubt).step(gang).Build());
  tables.tasks_.Put(restarted, JobTask::Builder(*tables.tasks_.Find(restarted))
                                   .worker(PlacementFleet::Name(1))
                                   .run(2)
                                   .Build());
  std::vector<RunKey> stopped;
  for (const SchedulerEffect& effect :
       fleet.Report(0, WorkerReport::Builder()
                           .number(1)
                           .ends({SuccessfulRunEnd(1, MakeRunKey(job, 0, 1))})
                           .Build())) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* stop = std::get_if<StopRun>(&sent->message());
    if (stop != nullptr) stopped.push_back(stop->run());
  }
  BOOST_TEST((stopped == std::vector<RunKey>{MakeRunKey(job, 2, 2)}));
  BOOST_TEST((tables.jobs_.Find(job)->state() == JobState::kCompleted));
}

// An earlier version may have stored that only some tasks of a gang are done.
// The others are done as well and must not wait for those.
BOOST_AUTO_TEST_CASE(a_gang_that_is_stored_as_partly_done_completes) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job =
      fleet.AddJob(JobStep::Builder(BatchStep(3)).gang(true).Build());
  tables.jobs_.Put(
      job, JobRow::Builder(*tables.jobs_.Find(job)).tasks_left(2).Build());
  const TaskKey done = MakeRunKey(job, 1, 0).task();
  tables.tasks_.Put(done, JobTask::Builder(*tables.tasks_.Find(done))
                              .stage(TaskStage::kDone)
                              .run(1)
                              .Build());
  fleet.Place();
  BOOST_TEST((tables.jobs_.Find(job)->state() == JobState::kCompleted));
  BOOST_TEST(fleet.TasksOnWorker(0) + fleet.TasksOnWorker(1) == 0U);
}

// A holder may act on a stale view of a worker's free capacity. The runner is
// the only caller of its worker and refuses starts that would overcommit it.
BOOST_AUTO_TEST_CASE(a_runner_refuses_a_start_beyond_its_capacity) {
  TwoCoreRunner runner;
  BOOST_TEST(!runner.Start(2, 1001));
  BOOST_TEST(runner.tables_.refusals_.size() == 1U);
  BOOST_TEST(
      (runner.tables_.refusals_.front().reason() == Reason::kDoesNotFit));
  BOOST_TEST(runner.Start(3, 1000));
}

BOOST_AUTO_TEST_CASE(a_stopping_run_still_occupies_capacity) {
  TwoCoreRunner runner;
  runner.Stop(1);
  BOOST_TEST(!runner.Start(2, 1001));
}

// A restarted process may receive the holder's and the worker's first messages
// in one tick, before its first status poll. A complete list sent then would be
// empty, and the holder would return running tasks to the queue.
BOOST_AUTO_TEST_CASE(a_runner_reports_no_list_before_its_first_poll) {
  RunnerNode node(RunnerPolicy(), 1);
  const ConnectionId connection(1);
  const std::vector<RunnerInput> inputs = {
      ConnectionOpened::Builder().connection(connection).Build(),
      RunnerMessageReceived::Builder()
          .connection(connection)
          .message(AttachRunner::Builder().epoch(1).session(1).Build())
          .Build(),
      WorkerAnnounced::Builder()
          .facts(IncarnationStartedAt(1))
          .sequence(1)
          .Build()};
  std::size_t reports = 0;
  for (const RunnerEffect& effect : node.RunTick(kFleetNow, inputs)) {
    const auto* sent = std::get_if<SendToHolder>(&effect);
    if (sent == nullptr) continue;
    const auto* report = std::get_if<WorkerReport>(&sent->message());
    if (report == nullptr) continue;
    ++reports;
    BOOST_TEST(!(report->whole() && report->facts().has_value()));
  }
  BOOST_TEST(reports == 1U);
}

// A worker that left and came back within one report is a new incarnation; the
// report of its loss must not remove it.
BOOST_AUTO_TEST_CASE(
    a_report_of_a_loss_and_a_restart_keeps_the_new_incarnation) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(BatchStep(2), 0);
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .whole(true)
                      .worker_left(true)
                      .facts(IncarnationStartedAt(2))
                      .Build());
  const WorkerRow& worker =
      *fleet.tables().workers_.Find(PlacementFleet::Name(0));
  BOOST_REQUIRE(worker.facts().has_value());
  BOOST_TEST(worker.facts()->born_ms() == 2);
  BOOST_TEST(fleet.Waiting(job) == 2U);
}

// A worker lists a limited number of completions at once. A run that is neither
// listed as running nor as ended may be among those still to come, and must not
// be refused as lost.
BOOST_AUTO_TEST_CASE(a_run_missing_from_a_truncated_list_is_not_lost) {
  TwoCoreRunner runner;
  RunnerTables& tables = runner.tables_;
  const RunKey run = MakeRunKey(1, 0, 1);
  tables.runs_.Put(run.task(), TrackedRun::Builder()
                                   .run(1)
                                   .stage(TrackedRunStage::kRunning)
                                   .known(true)
                                   .confirmed_at(kFleetNow - seconds(2))
                                   .Build());
  const auto poll = [&](bool more_ends) {
    RunnerTick tick(kFleetNow, runner.random_, tables.counters_);
    HandlePollAnswer(StatusPollCall(),
                     WorkerCall::Builder().sent_at(kFleetNow).Build(),
                     WorkerAnswer::Builder()
                         .verdict(WorkerCallOutcome::kDone)
                         .ends({SuccessfulRunEnd(1, MakeRunKey(7, 0, 1))})
                         .more_ends(more_ends)
                         .Build(),
                     tables, tick);
    return tables.refusals_.size();
  };
  BOOST_TEST(poll(true) == 0U);
  BOOST_TEST(poll(false) == 1U);
}

// A new holder must not conclude from a truncated list that a start never
// reached the worker.
BOOST_AUTO_TEST_CASE(a_truncated_list_returns_no_task) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(BatchStep(2), 0);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .listing(RunListing::kNone)
                                .Build());
  const auto report = [&](bool more_ends) {
    fleet.Report(0, WorkerReport::Builder()
                        .whole(true)
                        .more_ends(more_ends)
                        .facts(IncarnationStartedAt(1))
                        .Build());
    return fleet.Waiting(job);
  };
  BOOST_TEST(report(true) == 0U);
  BOOST_TEST(report(false) == 2U);
}

// A runner may list a run whose end the holder has handled already. The next
// complete report does not list it, so nothing is left to wait for.
BOOST_AUTO_TEST_CASE(a_complete_report_replaces_the_orphaned_runs) {
  PlacementFleet fleet(1);
  const auto report = [&](std::vector<RunProgress> running) {
    fleet.Report(0, WorkerReport::Builder()
                        .whole(true)
                        .facts(IncarnationStartedAt(1))
                        .running(std::move(running))
                        .Build());
    return fleet.tables().orphaned_runs_.size();
  };
  const RunProgress orphaned =
      RunProgress::Builder().run(MakeRunKey(7, 0, 1)).Build();
  BOOST_TEST(report({orphaned}) == 1U);
  BOOST_TEST(report({}) == 0U);
}

// A worker reports a completion again to a later holder, which may have loaded
// its effect from the store. Counted twice, it would use up the attempts of the
// task.
BOOST_AUTO_TEST_CASE(a_failure_that_is_listed_again_counts_once) {
  PlacementFleet fleet(1);
  const std::uint64_t job = fleet.AddRunning(BatchStep(2), 0);
  SchedulerTables& tables = fleet.tables();
  const TaskKey task = MakeRunKey(job, 0, 2).task();
  tables.tasks_.Put(task, JobTask::Builder(*tables.tasks_.Find(task))
                              .run(2)
                              .failed_runs({1})
                              .Build());
  const auto fail = [&](std::int64_t number, std::int64_t run) {
    fleet.Report(0, WorkerReport::Builder()
                        .ends({RunEnd::Builder()
                                   .number(number)
                                   .run(MakeRunKey(job, 0, run))
                                   .outcome(RunOutcome::kFailed)
                                   .Build()})
                        .Build());
    return tables.tasks_.Find(task)->failed_runs().size();
  };
  tables.jobs_.Put(job, JobRow::Builder(*tables.jobs_.Find(job))
                            .queue(JobQueue::Builder().max_attempts(3).Build())
                            .Build());
  BOOST_TEST(fail(1, 1) == 1U);
  BOOST_TEST(fail(2, 2) == 2U);
}

// Answers show that a worker with an earlier start has replaced the known one.
// A late announcement of the one that is gone must not bring it back.
BOOST_AUTO_TEST_CASE(a_late_announcement_of_a_replaced_worker_is_ignored) {
  TwoCoreRunner runner;
  runner.Announce("worker", 10);
  runner.CheckAnswer(WorkerCallOutcome::kDone, 5);
  BOOST_TEST(runner.Knows("worker", 5));
  runner.Announce("worker", 10);
  BOOST_TEST(runner.Knows("worker", 5));
  runner.CheckAnswer(WorkerCallOutcome::kOtherLife, 0);
  BOOST_TEST(!runner.tables_.facts_.has_value());
  runner.Announce("worker", 5);
  BOOST_TEST(!runner.tables_.facts_.has_value());
  runner.Announce("other", 3);
  BOOST_TEST(runner.Knows("other", 3));
}

// An announcement says that the worker has an earlier start while nothing shows
// that the known one is gone.
BOOST_AUTO_TEST_CASE(an_earlier_start_replaces_no_worker_that_may_live) {
  TwoCoreRunner runner;
  runner.Announce("worker", 10);
  runner.Announce("other", 5);
  BOOST_TEST(runner.Knows("worker", 10));
  runner.CheckAnswer(WorkerCallOutcome::kLost, 0);
  runner.CheckAnswer(WorkerCallOutcome::kNoRoom, 0);
  runner.Announce("other", 5);
  BOOST_TEST(runner.Knows("worker", 10));
}

// The known worker may come from a late announcement, while the one that
// answers runs the tasks. Reported as left, its tasks would start elsewhere.
BOOST_AUTO_TEST_CASE(a_replaced_worker_is_not_reported_as_left) {
  TwoCoreRunner runner;
  runner.CheckAnswer(WorkerCallOutcome::kOtherLife, 0);
  BOOST_TEST(!runner.tables_.worker_left_);
  BOOST_TEST(runner.tables_.full_report_due_);
}

// A command without an answer may reach the next incarnation, which knows no
// fencing token. Its first status poll has to make the command void.
BOOST_AUTO_TEST_CASE(commands_to_an_earlier_incarnation_become_void) {
  TwoCoreRunner runner;
  const std::int64_t fence = CurrentFencingToken(runner.tables_);
  runner.CheckAnswer(WorkerCallOutcome::kDone, 2);
  BOOST_TEST(CurrentFencingToken(runner.tables_) > fence);
}

// An answer that does not name its incarnation says nothing about the known one
// after a lost call.
BOOST_AUTO_TEST_CASE(an_answer_of_an_unknown_incarnation_is_no_sign_of_life) {
  TwoCoreRunner runner;
  runner.tables_.worker_answered_at_ = Instant();
  runner.CheckAnswer(WorkerCallOutcome::kLost, 0);
  runner.CheckAnswer(WorkerCallOutcome::kDone, 0);
  BOOST_TEST((runner.tables_.worker_answered_at_ == Instant()));
  runner.CheckAnswer(WorkerCallOutcome::kDone, 1);
  BOOST_TEST((runner.tables_.worker_answered_at_ == kFleetNow));
}

// Under a steady stream of small completions, a final state that a caller
// waits for is stored before progress, and no job starves behind jobs that
// change all the time.
BOOST_AUTO_TEST_CASE(a_finished_job_is_stored_before_the_progress_of_others) {
  constexpr std::uint64_t kBusyJobs = 200;
  DirtyJobs dirty;
  for (std::uint64_t job = 1; job <= kBusyJobs; ++job) {
    dirty.Add(job, DirtyKind::kProgress, kFleetNow);
  }
  dirty.Add(kBusyJobs + 1, DirtyKind::kProgress, kFleetNow);
  dirty.Add(kBusyJobs + 1, DirtyKind::kAwaited, kFleetNow + seconds(1));
  BOOST_TEST(dirty.entries().begin()->second == kBusyJobs + 1);
  dirty.Erase(kBusyJobs + 1);
  dirty.Erase(1);
  dirty.Add(1, DirtyKind::kProgress, kFleetNow + seconds(1));
  BOOST_TEST(dirty.entries().begin()->second == 2U);
  BOOST_TEST(dirty.entries().rbegin()->second == 1U);
  BOOST_TEST((dirty.DueAt(milliseconds(200)) == kFleetNow + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
