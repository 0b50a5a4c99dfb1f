#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/cell/validate_record.h"
#include "systems/scheduler/choose_worker.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/track_members.h"
#include "wire/kvs_record_codec.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 7;
constexpr std::int32_t kTasks = 5;

// Time from a stop or kill until the process starts again. A stopping process
// has ended by then.
constexpr Duration kRestartTime = milliseconds(800);

enum class Change : std::uint8_t { kPlanned, kUnplanned };

// A cell that runs a long-running job on some of its workers, one of which
// falls silent together with its agent before the holder changes repeatedly.
class HolderChanges {
 public:
  HolderChanges() : cell_(kAgents, 2, 1) {
    cell_.RunFor(seconds(3));
    const JobStep step = JobStep::Builder()
                             .count(kTasks)
                             .cpu(1000)
                             .memory_mb(100)
                             .estimate(milliseconds(500))
                             .long_running(true)
                             .most_per_worker(1)
                             .Build();
    cell_.Submit(JobDefinition::Builder().spec("spec").steps({step}).Build());
    cell_.RunFor(seconds(3));
    BOOST_REQUIRE(Running() == static_cast<std::size_t>(kTasks));
  }
  ~HolderChanges() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  std::size_t Running() {
    std::size_t running = 0;
    for (std::size_t i = 0; i < kAgents; ++i) {
      running += cell_.worker(i).running();
    }
    return running;
  }

  // Returns an agent that does not hold the cell, whose worker runs a task.
  std::size_t BusyFollower() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (i != *cell_.Holder() && cell_.worker(i).running() > 0) return i;
    }
    BOOST_FAIL("every task is on the holder's instance");
    return 0;
  }

  // Removes a worker and its agent for good.
  void Lose(std::size_t agent) {
    lost_ = agent;
    lost_at_ = cell_.now();
    cell_.worker(agent).Crash();
    cell_.KillAgent(agent);
  }

  // Changes the holder once, and lets the next one act for the given time. The
  // process of the previous one starts again soon.
  void ChangeHolder(Change change, Duration acting_time) {
    const std::size_t holder = *cell_.Holder();
    if (change == Change::kPlanned) {
      cell_.StopAgent(holder);
    } else {
      cell_.KillAgent(holder);
    }
    const Instant restart_at = cell_.now() + kRestartTime;
    while (cell_.now() < restart_at) Step();
    cell_.StartAgent(holder);
    for (int i = 0; i < 200 && !cell_.Holder(); ++i) Step();
    BOOST_REQUIRE(cell_.Holder().has_value());
    const Instant until = cell_.now() + acting_time;
    while (cell_.now() < until) Step();
  }

  // Runs until all tasks run, and returns the time since the worker was lost.
  Duration WaitForAllTasks() {
    for (int i = 0; i < 600 && !restored_at_; ++i) Step();
    BOOST_REQUIRE(restored_at_.has_value());
    return *restored_at_ - lost_at_;
  }

  VirtualCell cell_;

 private:
  void Step() {
    cell_.RunFor(milliseconds(50));
    if (!restored_at_ && Running() == static_cast<std::size_t>(kTasks)) {
      restored_at_ = cell_.now();
    }
  }

  std::size_t lost_ = 0;
  Instant lost_at_;
  std::optional<Instant> restored_at_;
};

Duration WaitAfter(Change change, int changes, Duration acting_time) {
  HolderChanges run;
  run.Lose(run.BusyFollower());
  run.cell_.RunFor(seconds(1));
  for (int i = 0; i < changes; ++i) run.ChangeHolder(change, acting_time);
  const Duration waited = run.WaitForAllTasks();
  BOOST_TEST_MESSAGE((change == Change::kPlanned ? "planned " : "unplanned ")
                     << changes << ": "
                     << std::chrono::duration_cast<milliseconds>(waited).count()
                     << " ms");
  return waited;
}

// A holder that has followers and knows a worker whose connection is closed.
class HandoverFleet {
 public:
  HandoverFleet() : fleet_(3) {
    SchedulerTables& tables = fleet_.tables();
    tables.term_ = HolderTerm::Builder(tables.term_)
                       .epoch(7)
                       .majority_since(kFleetNow - seconds(60))
                       .Build();
  }

  void Disconnect() {
    SchedulerTick tick(kFleetNow, random_, tables().counters_);
    DisconnectMember(
        ConnectionClosed::Builder().connection(ConnectionId(1)).Build(),
        tables(), tick);
  }

  // Runs the tracking of absent workers at a time after the fleet's.
  void Track(Duration after) {
    SchedulerTick tick(kFleetNow + after, random_, tables().counters_);
    tables().attention_ = kFleetNow + after;
    TrackAbsentWorkers(tables(), tick);
  }

  // Returns the record that the next commit writes for the worker, if any.
  std::optional<WorkerHandover> Commit(Duration after) {
    CommitBatch batch;
    AddHandovers(20, kFleetNow + after, tables(), batch);
    std::optional<WorkerHandover> written;
    for (const KvsPut& put : batch.puts_) {
      if (put.key() != HandoverKey(kName)) continue;
      written = std::get<WorkerHandover>(*put.record());
    }
    ApplyHandovers(batch, tables());
    return written;
  }

  // Has the runner report and returns the number of the report for which its
  // lease was granted. The store has just confirmed the epoch.
  std::int64_t GrantAfterReport(Duration after) {
    return GrantAfterReport(after, WorkerReport::Builder().number(1).Build());
  }
  std::int64_t GrantAfterReport(Duration after, const WorkerReport& report) {
    SchedulerTick tick(kFleetNow + after, random_, tables().counters_);
    HandleReport(ConnectionId(1), report, tables(), tick);
    return Grant(after);
  }

  // Grants the leases that are due and returns the number of the report for
  // which that of the first worker was granted.
  std::int64_t Grant(Duration after) {
    SchedulerTick tick(kFleetNow + after, random_, tables().counters_);
    tables().term_ = HolderTerm::Builder(tables().term_)
                         .confirmed_at(kFleetNow + after)
                         .Build();
    GrantLeases(tables(), tick);
    for (const SchedulerEffect& effect : tick.TakeEffects()) {
      const auto* sent = std::get_if<SendToRunner>(&effect);
      if (sent == nullptr) continue;
      const auto* grant = std::get_if<GrantLease>(&sent->message());
      if (grant != nullptr) return grant->report();
    }
    return -1;
  }

  SchedulerTables& tables() { return fleet_.tables(); }

  const MemberName kName = PlacementFleet::Name(0);
  PlacementFleet fleet_;
  Random random_{1};
};

WorkerHandover Record(std::int64_t epoch) {
  return WorkerHandover::Builder()
      .epoch(epoch)
      .remaining(seconds(2))
      .complete(true)
      .Build();
}

// All leases that were granted before a loss have expired by then, and the next
// placement has had its turn.
const Duration kOneLease = MaxLeaseDuration(seconds(5)) + seconds(1);
// Each holder reads the record of the previous one a little later than it was
// written, and the first one is silent about a loss for a moment.
constexpr Duration kGap = milliseconds(100);

}  // namespace

BOOST_AUTO_TEST_SUITE(holder_changes)

// Each new holder waited a whole lease for a silent worker, so that planned
// restarts of one holder after another kept its task from running.
BOOST_AUTO_TEST_CASE(planned_changes_in_a_row_wait_for_one_lease_in_all) {
  for (const int changes : {1, 2, 5, 10}) {
    const Duration waited =
        WaitAfter(Change::kPlanned, changes, milliseconds(1500));
    BOOST_TEST((waited <= kOneLease + changes * kGap));
  }
}

// The same for holders that are killed: what they have waited for must outlive
// them.
BOOST_AUTO_TEST_CASE(unplanned_changes_in_a_row_wait_for_one_lease_in_all) {
  for (const int changes : {1, 2, 5, 10}) {
    const Duration waited =
        WaitAfter(Change::kUnplanned, changes, milliseconds(1500));
    BOOST_TEST((waited <= kOneLease + changes * kGap));
  }
}

// A silent worker held back every task of unknown state. A task that cannot be
// on it must run as soon as the workers that answer have listed their runs.
BOOST_AUTO_TEST_CASE(a_task_that_is_not_on_a_silent_worker_does_not_wait) {
  for (const Change change : {Change::kPlanned, Change::kUnplanned}) {
    HolderChanges run;
    VirtualCell& cell = run.cell_;
    run.Lose(run.BusyFollower());
    cell.RunFor(seconds(1));
    const JobStep step = JobStep::Builder()
                             .count(1)
                             .cpu(1000)
                             .memory_mb(100)
                             .estimate(milliseconds(500))
                             .Build();
    const std::uint64_t job = cell.Submit(
        JobDefinition::Builder()
            .spec("spec")
            .steps({step, JobStep::Builder(step).after({0}).Build()})
            .Build());
    cell.RunFor(milliseconds(200));
    BOOST_REQUIRE(cell.IsAccepted(job));
    run.ChangeHolder(change, milliseconds(1500));
    BOOST_TEST(cell.log().IsDone(TaskKey::Builder().job(job).step(1).Build()));
  }
}

// A record would delay the return of a worker whose connection was only opened
// again, and every absence must not cost more than a few writes.
BOOST_AUTO_TEST_CASE(an_absent_worker_is_recorded_once_a_second) {
  HandoverFleet fleet;
  fleet.Disconnect();
  int records = 0;
  for (milliseconds after(0); after < seconds(20); after += milliseconds(100)) {
    fleet.Track(after);
    const bool written = fleet.Commit(after).has_value();
    if (after < milliseconds(500)) BOOST_TEST(!written);
    if (written) ++records;
  }
  BOOST_TEST(records >= 2);
  BOOST_TEST(records <= 7);
}

// The next holder may count the time of a record only if no lease is granted
// while it may be stored.
BOOST_AUTO_TEST_CASE(
    a_worker_is_granted_no_lease_before_its_record_is_removed) {
  HandoverFleet fleet;
  BOOST_TEST(fleet.GrantAfterReport(milliseconds(400)) == 1);
  HandOverAllWorkers(fleet.tables());
  BOOST_REQUIRE(fleet.Commit(milliseconds(500)).has_value());
  BOOST_TEST(fleet.GrantAfterReport(milliseconds(800)) == 0);
  BOOST_TEST(SchedulableWorkers(fleet.tables(), kFleetNow).empty());
  fleet.Track(milliseconds(900));
  BOOST_TEST(fleet.GrantAfterReport(milliseconds(1200)) == 0);
  BOOST_TEST(!fleet.Commit(milliseconds(1200)).has_value());
  BOOST_TEST(fleet.GrantAfterReport(milliseconds(1600)) == 1);
}

// A holder of an earlier release ignores these records, so one that it has not
// written says nothing about the leases that it granted.
BOOST_AUTO_TEST_CASE(only_a_record_of_the_epoch_before_counts) {
  for (const std::int64_t epoch : {5, 6, 7, 8}) {
    HandoverFleet fleet;
    fleet.tables().term_ =
        HolderTerm::Builder().epoch(7).settled(false).Build();
    Random random(1);
    SchedulerTick tick(kFleetNow, random, fleet.tables().counters_);
    RestoreHandover(fleet.kName, Record(epoch), kFleetNow, fleet.tables(),
                    tick);
    const auto end = EarlierLeasesEnd(fleet.kName, fleet.tables());
    BOOST_TEST(end.has_value() == (epoch == 6));
  }
}

// A run that its worker still has to stop, and a run that has ended without a
// stored effect, must not be started again by the next holder.
BOOST_AUTO_TEST_CASE(a_record_lists_every_task_that_may_be_on_a_worker) {
  HandoverFleet fleet;
  SchedulerTables& tables = fleet.tables();
  const JobStep step = JobStep::Builder().count(1).cpu(1000).Build();
  const TaskKey assigned =
      TaskKey::Builder().job(fleet.fleet_.AddRunning(step, 0)).Build();
  const TaskKey orphaned = TaskKey::Builder().job(99).Build();
  tables.orphaned_runs_[fleet.kName].insert(
      RunKey::Builder().task(orphaned).run(1).Build());
  HandOverAllWorkers(tables);
  const auto record = fleet.Commit(Duration());
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->complete());
  BOOST_TEST((record->tasks() == std::vector<TaskKey>{assigned, orphaned}));
  tables.unacknowledged_completions_.push_back(
      UnacknowledgedCompletion::Builder()
          .worker(fleet.kName)
          .number(1)
          .job(98)
          .Build());
  HandOverAllWorkers(tables);
  const auto unstored = fleet.Commit(Duration());
  BOOST_REQUIRE(unstored.has_value());
  BOOST_TEST(!unstored->complete());
}

// A holder without a majority cannot know when the leases of earlier holders
// end, so it must leave no time to the next one.
BOOST_AUTO_TEST_CASE(a_holder_without_a_majority_records_no_worker) {
  HandoverFleet fleet;
  SchedulerTables& tables = fleet.tables();
  tables.term_ =
      HolderTerm::Builder(tables.term_).majority_since(std::nullopt).Build();
  HandOverAllWorkers(tables);
  BOOST_TEST(!fleet.Commit(Duration()).has_value());
}

// A worker is closed while it may be recorded for the next holder. Once it is
// not, it must have a lease before it gets work, since it refuses what would
// start without one.
BOOST_AUTO_TEST_CASE(a_worker_that_is_back_gets_a_lease_before_work) {
  HandoverFleet fleet;
  SchedulerTables& tables = fleet.tables();
  const auto cause = [&] {
    return FindClosedCause(fleet.kName, *tables.workers_.Find(fleet.kName),
                           tables, kFleetNow);
  };
  fleet.Track(Duration());
  tables.handovers_.Put(fleet.kName,
                        HandoverRow::Builder().recorded(true).Build());
  const WorkerReport report =
      WorkerReport::Builder()
          .whole(true)
          .number(5)
          .facts(tables.workers_.Find(fleet.kName)->facts())
          .Build();
  BOOST_TEST(fleet.GrantAfterReport(Duration(), report) == 0);
  BOOST_CHECK(cause() == ClosedCause::kHandedOver);
  tables.handover_changes_[fleet.kName] = false;
  fleet.Commit(milliseconds(10));
  BOOST_CHECK(cause() == ClosedCause::kUnleased);
  BOOST_TEST(fleet.Grant(milliseconds(10)) == 5);
  BOOST_CHECK(cause() == ClosedCause::kOpen);
}

// A value that another writer left, or one under another kind of key, must not
// end the wait for a lease.
BOOST_AUTO_TEST_CASE(only_records_that_a_holder_can_have_written_are_read) {
  const WorkerHandover good = Record(6);
  const std::string key = HandoverKey(MemberName("a"));
  BOOST_TEST(!ValidateRecord(key, good).has_value());
  BOOST_TEST((DecodeKvsRecord(EncodeKvsRecord(good)) == KvsRecord(good)));
  BOOST_TEST(ValidateRecord("handover/", good).has_value());
  BOOST_TEST(ValidateRecord("vacant/a", good).has_value());
  BOOST_TEST(ValidateRecord("members/a", good).has_value());
  BOOST_TEST(ValidateRecord(key, MemberRecord()).has_value());
  BOOST_TEST(ValidateRecord(key, Record(0)).has_value());
  BOOST_TEST(
      ValidateRecord(
          key, WorkerHandover::Builder(good).remaining(-seconds(1)).Build())
          .has_value());
}

// A process that was asked to stop during its claim held the cell without
// renewing it, so that nobody scheduled work until its lease had expired.
BOOST_AUTO_TEST_CASE(a_process_that_stops_does_not_take_the_cell) {
  HolderChanges run;
  VirtualCell& cell = run.cell_;
  cell.KillAgent(*cell.Holder());
  std::optional<std::size_t> claiming;
  for (int i = 0; i < 5000 && !claiming; ++i) {
    cell.RunFor(milliseconds(1));
    for (std::size_t agent = 0; agent < kAgents; ++agent) {
      if (!cell.IsAlive(agent)) continue;
      if (std::holds_alternative<HolderClaiming>(
              cell.scheduler(agent).stage_)) {
        claiming = agent;
      }
    }
  }
  BOOST_REQUIRE(claiming.has_value());
  cell.StopAgent(*claiming, seconds(5));
  for (int i = 0; i < 1000 && !cell.Holder(); ++i) {
    cell.RunFor(milliseconds(1));
  }
  BOOST_REQUIRE(cell.Holder().has_value());
  BOOST_TEST(*cell.Holder() != *claiming);
}

// A process learned while it stopped that an earlier claim without an answer
// had succeeded, held the cell without renewing its lease, and was killed.
BOOST_AUTO_TEST_CASE(a_process_that_stops_gives_up_a_claim_that_succeeded) {
  PlacementFleet fleet(1);
  SchedulerTables& tables = fleet.tables();
  tables.stage_ = HolderFollowing();
  tables.stopping_ = true;
  tables.term_ = HolderTerm::Builder().epoch(2).lease(7).Build();
  const HolderRecord own = HolderRecord::Builder()
                               .epoch(2)
                               .instance(HolderIdentity(tables.policy_))
                               .Build();
  const KvsItem item = KvsItem::Builder()
                           .key(std::string(kHolderKey))
                           .record(KvsRecord(own))
                           .revision(10)
                           .Build();
  Random random(1);
  SchedulerTick tick(kFleetNow, random, tables.counters_);
  HandleHolderRead(KvsItems::Builder().items({item}).revision(10).Build(),
                   Duration(), tables, tick);
  BOOST_TEST(!IsHolder(tables));
  const std::vector<SchedulerEffect> effects = tick.TakeEffects();
  BOOST_REQUIRE(effects.size() == 1U);
  const auto* ended = std::get_if<KvsEndLease>(&effects.front());
  BOOST_REQUIRE(ended != nullptr);
  BOOST_TEST(ended->lease() == 7U);
}

// Holders that are killed soon after they have begun to act must not cost a
// lease each.
BOOST_AUTO_TEST_CASE(short_lived_holders_in_a_row_wait_for_one_lease_in_all) {
  for (const int acting_ms : {0, 50, 100, 150, 200, 250}) {
    for (const int changes : {2, 10}) {
      const Duration waited =
          WaitAfter(Change::kUnplanned, changes, milliseconds(acting_ms));
      BOOST_TEST((waited <= kOneLease + changes * kGap),
                 acting_ms << " ms, " << changes
                           << " changes: " << waited.count() / 1000 << " ms");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Listed in KNOWN-RED.txt; CI does not run them.
BOOST_AUTO_TEST_SUITE(known_red_holder_changes)

// A short absence before an outage of the store must not cost the runs of a
// worker that is back while a majority still follows the holder.
BOOST_AUTO_TEST_CASE(a_store_outage_after_a_short_absence_ends_no_run) {
  for (const int absence_ms : {2000, 2500, 3000, 3500, 4000}) {
    HolderChanges run;
    VirtualCell& cell = run.cell_;
    const std::size_t agent = run.BusyFollower();
    const std::size_t held = cell.worker(agent).running();
    cell.SetAgentPartitioned(agent, true, false);
    cell.RunFor(milliseconds(absence_ms));
    cell.kv().SetUnavailable(true);
    cell.SetAgentPartitioned(agent, false, false);
    cell.RunFor(seconds(8));
    BOOST_TEST(cell.worker(agent).running() == held,
               "absent for " << absence_ms << " ms");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
