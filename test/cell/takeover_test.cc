#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/runner/manage_holder_session.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/reconcile_tasks.h"
#include "systems/scheduler/track_members.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A holder that has taken over from another one. The task of its only job may
// be running on one of the workers that have not reported yet.
struct TakeoverFleet {
  explicit TakeoverFleet(int silent) : fleet_(5) {
    const JobStep step = JobStep::Builder()
                             .count(1)
                             .cpu(1000)
                             .memory_mb(100)
                             .estimate(seconds(60))
                             .Build();
    const TaskKey key = TaskKey::Builder().job(fleet_.AddJob(step)).Build();
    run_ = RunKey::Builder().task(key).run(1).Build();
    SchedulerTables& tables = fleet_.tables();
    tables.tasks_.Put(key, JobTask::Builder(*tables.tasks_.Find(key))
                               .stage(TaskStage::kInDoubt)
                               .run(1)
                               .Build());
    tables.term_ = HolderTerm::Builder(tables.term_).settled(false).Build();
    facts_ = *tables.workers_.Find(kLast)->facts();
    for (int worker = 5 - silent; worker < 5; ++worker) {
      const MemberName name = PlacementFleet::Name(worker);
      tables.workers_.Put(name, WorkerRow());
      tables.members_.Put(name, MemberRow::Builder(*tables.members_.Find(name))
                                    .answered(false)
                                    .Build());
    }
  }

  // Handles a complete report of the last runner, whose worker runs the task.
  void ReportRun(Duration since_takeover, bool more_ends) {
    SchedulerTables& tables = fleet_.tables();
    tables.attention_ = kFleetNow + since_takeover;
    SchedulerTick tick(kFleetNow + since_takeover, random_, tables.counters_);
    HandleReport(ConnectionId(5),
                 WorkerReport::Builder()
                     .whole(true)
                     .more_ends(more_ends)
                     .facts(facts_)
                     .running({RunProgress::Builder().run(run_).Build()})
                     .Build(),
                 tables, tick);
  }

  // Closes the connection to the last runner.
  void Disconnect(Duration since_takeover) {
    SchedulerTables& tables = fleet_.tables();
    tables.attention_ = kFleetNow + since_takeover;
    SchedulerTick tick(kFleetNow + since_takeover, random_, tables.counters_);
    DisconnectMember(
        ConnectionClosed::Builder().connection(ConnectionId(5)).Build(), tables,
        tick);
  }

  // Reconciles the tasks; the store has just confirmed the epoch.
  void Reconcile(Duration since_takeover) {
    const Instant now = kFleetNow + since_takeover;
    SchedulerTables& tables = fleet_.tables();
    tables.attention_ = now;
    SchedulerTick tick(now, random_, tables.counters_);
    tables.term_ = HolderTerm::Builder(tables.term_).confirmed_at(now).Build();
    ReconcileTasks(tables, tick);
  }

  TaskStage Stage() {
    return fleet_.tables().tasks_.Find(run_.task())->stage();
  }
  bool IsSettled() { return fleet_.tables().term_.settled(); }
  std::size_t RecordedAsLost() {
    return fleet_.tables().confirmed_lost_changes_.size();
  }

  const MemberName kLast = PlacementFleet::Name(4);
  PlacementFleet fleet_;
  RunKey run_;
  WorkerDescription facts_;
  Random random_{1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(takeovers)

// Once a majority of the runners has followed this holder for as long as a
// lease of an earlier holder lasts, nothing runs on the others.
BOOST_AUTO_TEST_CASE(a_takeover_records_unanswered_workers_as_lost) {
  TakeoverFleet takeover(2);
  takeover.Reconcile(Duration());
  takeover.Reconcile(seconds(5));
  BOOST_TEST(takeover.RecordedAsLost() == 0U);
  takeover.Reconcile(seconds(8));
  BOOST_TEST(takeover.IsSettled());
  BOOST_TEST(takeover.RecordedAsLost() == 2U);
}

// Without a majority, an earlier holder may still grant leases.
BOOST_AUTO_TEST_CASE(a_takeover_in_a_minority_records_no_worker_as_lost) {
  TakeoverFleet takeover(3);
  takeover.Reconcile(Duration());
  takeover.Reconcile(seconds(19));
  BOOST_TEST(takeover.IsSettled());
  BOOST_TEST(takeover.RecordedAsLost() == 0U);
}

// This holder granted a lease to the last worker.
BOOST_AUTO_TEST_CASE(a_worker_with_a_lease_is_not_recorded_as_lost) {
  TakeoverFleet takeover(2);
  takeover.Reconcile(Duration());
  takeover.ReportRun(seconds(1), true);
  takeover.Reconcile(seconds(8));
  BOOST_TEST(takeover.RecordedAsLost() == 1U);
  BOOST_TEST(takeover.fleet_.tables().confirmed_lost_changes_.count(
                 takeover.kLast) == 0U);
}

// A worker that lists many ends renews its lease with each report, while the
// holder does not know its runs yet. They must not be started elsewhere.
BOOST_AUTO_TEST_CASE(a_takeover_waits_for_a_worker_that_lists_its_ends) {
  TakeoverFleet takeover(1);
  for (int second = 0; second < 20; ++second) {
    takeover.ReportRun(seconds(second), true);
    takeover.Reconcile(seconds(second));
    BOOST_TEST((takeover.Stage() == TaskStage::kInDoubt));
  }
  takeover.ReportRun(seconds(20), false);
  BOOST_TEST((takeover.Stage() == TaskStage::kAssigned));
}

// The worker is lost before it has listed its runs. Its lease expires.
BOOST_AUTO_TEST_CASE(a_takeover_waits_for_the_lease_of_a_worker) {
  TakeoverFleet takeover(1);
  takeover.Reconcile(Duration());
  takeover.ReportRun(seconds(5), true);
  takeover.Reconcile(seconds(10));
  BOOST_TEST((takeover.Stage() == TaskStage::kInDoubt));
  takeover.Reconcile(seconds(11));
  BOOST_TEST(takeover.IsSettled());
  BOOST_TEST((takeover.Stage() != TaskStage::kInDoubt));
}

// A worker that has listed its runs cannot be running other tasks of unknown
// state, even if its connection closes before the others have answered.
BOOST_AUTO_TEST_CASE(a_takeover_does_not_wait_for_a_worker_that_answered) {
  TakeoverFleet takeover(1);
  takeover.ReportRun(Duration(), false);
  takeover.Disconnect(Duration());
  takeover.Reconcile(seconds(1));
  BOOST_TEST(takeover.IsSettled());
}

// Most workers are lost together with the holder, and their agents restart. As
// their runners follow the next holder, it knows when the leases have expired.
BOOST_AUTO_TEST_CASE(a_takeover_counts_runners_that_have_no_worker) {
  VirtualCell cell(5, 2, 1);
  cell.RunFor(seconds(3));
  const JobStep step = JobStep::Builder()
                           .count(1)
                           .cpu(1000)
                           .memory_mb(100)
                           .estimate(milliseconds(500))
                           .Build();
  const std::uint64_t job =
      cell.Submit(JobDefinition::Builder()
                      .spec("spec")
                      .steps({step, JobStep::Builder(step).after({0}).Build()})
                      .Build());
  cell.RunFor(milliseconds(200));
  BOOST_REQUIRE(cell.IsAccepted(job));
  const std::size_t holder = *cell.Holder();
  for (std::size_t i = 1; i < 4; ++i) {
    const std::size_t lost = (holder + i) % cell.agents();
    cell.worker(lost).Crash();
    cell.KillAgent(lost);
    cell.StartAgent(lost);
  }
  cell.KillAgent(holder);
  cell.RunFor(milliseconds(300));
  cell.StartAgent(holder);
  for (int i = 0; i < 200 && !cell.Holder(); ++i) cell.RunFor(milliseconds(50));
  const TaskKey second = TaskKey::Builder().job(job).step(1).Build();
  milliseconds waited{0};
  while (waited < seconds(30) && !cell.log().IsDone(second)) {
    cell.RunFor(milliseconds(50));
    waited += milliseconds(50);
  }
  BOOST_TEST_MESSAGE("waited " << waited.count() << " ms");
  BOOST_TEST(waited.count() < 9000);
}

// A worker executes calls but its answers are lost, while the cell changes
// hands. Its lease must not outlive the time at which its tasks are released.
BOOST_AUTO_TEST_CASE(tasks_of_a_mute_worker_are_not_started_twice) {
  VirtualCell cell(5, 2, 1);
  cell.RunFor(seconds(3));
  const JobStep step = JobStep::Builder()
                           .count(4)
                           .cpu(1000)
                           .memory_mb(100)
                           .long_running(true)
                           .most_per_worker(1)
                           .Build();
  const std::uint64_t job =
      cell.Submit(JobDefinition::Builder().spec("spec").steps({step}).Build());
  cell.RunFor(seconds(3));
  const std::size_t holder = *cell.Holder();
  BOOST_REQUIRE(cell.worker(holder).running() == 1U);
  cell.SetAgentPartitioned(holder, true, true);
  cell.RunFor(milliseconds(2500));
  cell.worker(holder).SetMute(true);
  cell.RunFor(milliseconds(700));
  cell.SetAgentPartitioned(holder, false, false);
  cell.RunFor(seconds(6));
  cell.worker(holder).SetMute(false);
  cell.RunFor(seconds(8));
  for (const std::string& violation : cell.log().violations()) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST(cell.log().StartsOf(job) <= 5);
}

// Ends of earlier runs may lie with runners that have not answered. An adopted
// run that fails must not be followed by another before all have.
BOOST_AUTO_TEST_CASE(
    an_adopted_task_is_not_restarted_before_all_have_answered) {
  constexpr std::int64_t kAdoptedRun = 1003;
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job =
      fleet.AddRunning(JobStep::Builder().count(1).cpu(1000).Build(), 0);
  const TaskKey task = TaskKey::Builder().job(job).Build();
  tables.tasks_.Put(
      task,
      JobTask::Builder(*tables.tasks_.Find(task)).run(kAdoptedRun).Build());
  tables.jobs_.Put(job, JobRow::Builder(*tables.jobs_.Find(job))
                            .queue(JobQueue::Builder()
                                       .service(ServiceName("service"))
                                       .max_attempts(3)
                                       .Build())
                            .Build());
  tables.term_ =
      HolderTerm::Builder(tables.term_).epoch(3).settled(false).Build();
  const RunKey run = RunKey::Builder().task(task).run(kAdoptedRun).Build();
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .ends({RunEnd::Builder()
                                 .number(1)
                                 .run(run)
                                 .outcome(RunOutcome::kFailed)
                                 .Build()})
                      .Build());
  fleet.Place();
  BOOST_TEST((tables.tasks_.Find(task)->stage() == TaskStage::kInDoubt));
  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  ReconcileTasks(tables, tick);
  fleet.Place();
  BOOST_TEST((tables.tasks_.Find(task)->stage() == TaskStage::kAssigned));
}

// A task that was first started in this term has no earlier ends.
BOOST_AUTO_TEST_CASE(a_task_of_this_term_is_restarted_during_a_takeover) {
  PlacementFleet fleet(2);
  SchedulerTables& tables = fleet.tables();
  const std::uint64_t job =
      fleet.AddRunning(JobStep::Builder().count(1).cpu(1000).Build(), 0);
  const TaskKey task = TaskKey::Builder().job(job).Build();
  tables.term_ = HolderTerm::Builder(tables.term_).settled(false).Build();
  fleet.Report(0,
               WorkerReport::Builder()
                   .number(1)
                   .ends({RunEnd::Builder()
                              .number(1)
                              .run(RunKey::Builder().task(task).run(1).Build())
                              .outcome(RunOutcome::kLapsed)
                              .Build()})
                   .Build());
  BOOST_TEST((tables.tasks_.Find(task)->stage() == TaskStage::kReady));
}

// A holder that was cut off reconnects to runners that follow another one by
// now. A connection is no sign that they follow it.
BOOST_AUTO_TEST_CASE(a_connection_without_an_answer_counts_for_no_majority) {
  constexpr int kMembers = 3;
  PlacementFleet fleet(kMembers);
  SchedulerTables& tables = fleet.tables();
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(Instant()).Build();
  BOOST_TEST(MayAct(tables, kFleetNow));
  for (int i = 0; i < kMembers; ++i) {
    const MemberName name = PlacementFleet::Name(i);
    tables.members_.Put(name, MemberRow::Builder(*tables.members_.Find(name))
                                  .answered(false)
                                  .Build());
  }
  BOOST_TEST(!MayAct(tables, kFleetNow));
}

// A holder without the store lost its majority and regained it from runners
// that had been away or had started again. A later holder had the store in
// between: it had cancelled jobs that the earlier one then started.
BOOST_AUTO_TEST_CASE(a_majority_that_was_missed_needs_the_store) {
  PlacementFleet fleet(3);
  SchedulerTables& tables = fleet.tables();
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .confirmed_at(kFleetNow - seconds(10))
                     .Build();
  BOOST_TEST(MayAct(tables, kFleetNow));
  const Instant later = kFleetNow + seconds(2);
  Random random(1);
  SchedulerTick tick(later, random, tables.counters_);
  TrackMajority(tables, tick);
  for (const auto& [name, row] : tables.members_.Sorted()) {
    tables.members_.Put(name, MemberRow::Builder(row).heard_at(later).Build());
  }
  BOOST_TEST(!MayAct(tables, later));
  ConfirmEpochAt(later, tables);
  BOOST_TEST(MayAct(tables, later + seconds(1)));
}

// The answer to a read of the epoch lay unread while the process was busy, and
// a later holder had taken the cell in the meantime.
BOOST_AUTO_TEST_CASE(an_answer_that_waited_confirms_the_time_of_its_call) {
  PlacementFleet fleet(3);
  SchedulerTables& tables = fleet.tables();
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(Instant()).Build();
  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  const KvsItems epoch =
      KvsItems::Builder()
          .items({KvsItem::Builder()
                      .key(std::string(kEpochKey))
                      .revision(5)
                      .record(HolderRecord::Builder().epoch(1).Build())
                      .Build()})
          .revision(5)
          .Build();
  HandleEpochCheck(epoch, kFleetNow - seconds(3), tables, tick);
  BOOST_CHECK(tables.term_.confirmed_at() == kFleetNow - seconds(3));
}

// A runner followed a holder without the store although its own process had
// read in the store that another one holds the cell.
BOOST_AUTO_TEST_CASE(a_runner_leaves_a_holder_that_the_store_shows_replaced) {
  RunnerTables tables;
  Random random(1);
  const auto attach = [&](std::uint64_t connection, std::int64_t epoch) {
    RunnerTick tick(kFleetNow, random, tables.counters_);
    HandleAttach(ConnectionId(connection),
                 AttachRunner::Builder().epoch(epoch).session(1).Build(),
                 tables, tick);
    return tables.session_.connection() == ConnectionId(connection);
  };
  BOOST_TEST(attach(1, 3));
  RunnerTick tick(kFleetNow, random, tables.counters_);
  HandleHolderEpochSeen(HolderEpochSeen::Builder().epoch(4).Build(), tables,
                        tick);
  const std::vector<RunnerEffect> effects = tick.TakeEffects();
  const bool told =
      std::any_of(effects.begin(), effects.end(), [](const RunnerEffect& e) {
        const auto* sent = std::get_if<SendToHolder>(&e);
        return sent != nullptr &&
               std::holds_alternative<HolderSuperseded>(sent->message());
      });
  BOOST_TEST(told);
  BOOST_TEST(!tables.session_.connection().has_value());
  BOOST_TEST(!attach(2, 3));
  BOOST_TEST(attach(3, 4));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
