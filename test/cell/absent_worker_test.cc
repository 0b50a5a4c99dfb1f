#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "support/placement_fleet.h"
#include "support/virtual_cell.h"
#include "systems/cell/max_lease_duration.h"
#include "systems/runner/runner_node.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/measure_cell.h"
#include "systems/scheduler/track_members.h"
#include "systems/scheduler/track_workers.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 5;
constexpr std::int32_t kTasks = 4;
// A task lease has certainly expired on the slowest worker by then, and
// placement has had a second.
constexpr Duration kLeaseAndPlacement = seconds(7);

// Returns a long-running job whose tasks run on different workers.
JobDefinition SpreadJob() {
  const JobStep step = JobStep::Builder()
                           .count(kTasks)
                           .cpu(1000)
                           .memory_mb(100)
                           .estimate(milliseconds(500))
                           .long_running(true)
                           .most_per_worker(1)
                           .Build();
  return JobDefinition::Builder().spec("spec").steps({step}).Build();
}

// A cell of five workers that runs such a job on four of them.
struct SpreadCell {
  SpreadCell() : cell_(kAgents, 2, 1) {
    cell_.RunFor(seconds(3));
    cell_.Submit(SpreadJob());
    cell_.RunFor(seconds(2));
  }
  ~SpreadCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  std::size_t RunningTasks() {
    std::size_t running = 0;
    for (std::size_t i = 0; i < kAgents; ++i) {
      running += cell_.worker(i).running();
    }
    return running;
  }

  // Returns an agent that is not the holder and whose worker runs a task.
  std::size_t BusyFollower() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (i != *cell_.Holder() && cell_.worker(i).running() > 0) return i;
    }
    BOOST_FAIL("every task is on the holder's instance");
    return 0;
  }

  std::int64_t TasksOnUnlistedWorkers() {
    const std::vector<Gauge> gauges =
        MeasureCell(cell_.scheduler(*cell_.Holder()));
    for (const Gauge& gauge : gauges) {
      if (gauge.name() == "cell_tasks_on_unlisted_workers") {
        return gauge.value();
      }
    }
    return -1;
  }

  VirtualCell cell_;
};

const WorkerReport* FindReport(const std::vector<RunnerEffect>& effects) {
  for (const RunnerEffect& effect : effects) {
    const auto* sent = std::get_if<SendToHolder>(&effect);
    if (sent == nullptr) continue;
    const auto* report = std::get_if<WorkerReport>(&sent->message());
    if (report != nullptr) return report;
  }
  return nullptr;
}

std::vector<RunnerInput> OpenSession(std::int64_t session) {
  const ConnectionId connection(static_cast<std::uint64_t>(session));
  return {
      ConnectionOpened::Builder().connection(connection).Build(),
      RunnerMessageReceived::Builder()
          .connection(connection)
          .message(AttachRunner::Builder().epoch(1).session(session).Build())
          .Build()};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(absent_workers)

// A worker that is lost while its agent is down is never reported as lost. Its
// tasks must not stay assigned to it after the agent has returned.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_lost_with_its_agent_restart_elsewhere) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  BOOST_REQUIRE(spread.RunningTasks() == static_cast<std::size_t>(kTasks));
  const std::size_t agent = spread.BusyFollower();
  cell.worker(agent).Crash();
  cell.KillAgent(agent);
  cell.RunFor(seconds(1));
  cell.StartAgent(agent);
  cell.RunFor(seconds(1));
  BOOST_TEST(spread.TasksOnUnlistedWorkers() == 1);
  cell.RunFor(kLeaseAndPlacement);
  BOOST_TEST(spread.RunningTasks() == static_cast<std::size_t>(kTasks));
  BOOST_TEST(spread.TasksOnUnlistedWorkers() == 0);
}

// The first notice that a worker has shut down is lost with the connection to
// the holder. The tasks must not stay assigned to the worker.
BOOST_AUTO_TEST_CASE(tasks_restart_although_the_notice_of_a_shutdown_is_lost) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  const std::size_t agent = spread.BusyFollower();
  cell.SetAgentPartitioned(agent, true, false);
  cell.ShutDownWorker(agent);
  cell.RunFor(seconds(1));
  cell.SetAgentPartitioned(agent, false, false);
  cell.RunFor(kLeaseAndPlacement);
  BOOST_TEST(spread.RunningTasks() == static_cast<std::size_t>(kTasks));
}

// A worker that announces itself again soon after its agent's restart has kept
// its runs. They must be adopted, not started a second time.
BOOST_AUTO_TEST_CASE(runs_of_a_worker_that_outlives_its_agent_are_adopted) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  const std::size_t agent = spread.BusyFollower();
  cell.KillAgent(agent);
  cell.RunFor(seconds(1));
  cell.StartAgent(agent);
  cell.RunFor(kLeaseAndPlacement);
  BOOST_TEST(spread.RunningTasks() == static_cast<std::size_t>(kTasks));
  BOOST_TEST(spread.TasksOnUnlistedWorkers() == 0);
}

// A runner without a worker cannot extend any lease. Its reports must not renew
// the lease that the holder counts for the worker.
BOOST_AUTO_TEST_CASE(a_runner_without_a_worker_is_granted_no_lease) {
  PlacementFleet fleet(1);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  const Instant later = kFleetNow + milliseconds(800);
  Random random(1);
  SchedulerTick tick(later, random, tables.counters_);
  HandleReport(ConnectionId(1),
               WorkerReport::Builder().number(1).whole(true).Build(), tables,
               tick);
  GrantLeases(tables, tick);
  BOOST_TEST((tables.workers_.Find(name)->granted_at() == kFleetNow));
  for (const SchedulerEffect& effect : tick.TakeEffects()) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* grant = std::get_if<GrantLease>(&sent->message());
    if (grant != nullptr) BOOST_TEST(grant->report() == 0);
  }
}

// A runner closes a connection on which its holder is silent. Without a worker
// it must hear from the holder as often as others.
BOOST_AUTO_TEST_CASE(a_runner_without_a_worker_keeps_its_session) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  const std::size_t agent = spread.BusyFollower();
  cell.ShutDownWorker(agent);
  cell.RunFor(seconds(1));
  const std::int64_t session = cell.runner(agent).session_.session();
  cell.RunFor(seconds(20));
  BOOST_TEST(cell.runner(agent).session_.session() == session);
}

// A truncated list is no proof of what runs on the worker, but it shows that
// the worker lives. Without leases its runs would be lost while it lists them.
BOOST_AUTO_TEST_CASE(a_worker_with_a_truncated_list_keeps_its_lease) {
  PlacementFleet fleet(1);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  const WorkerDescription worker = *tables.workers_.Find(name)->facts();
  const Instant later = kFleetNow + milliseconds(800);
  Random random(1);
  SchedulerTick tick(later, random, tables.counters_);
  HandleReport(ConnectionId(1),
               WorkerReport::Builder()
                   .number(1)
                   .whole(true)
                   .more_ends(true)
                   .facts(worker)
                   .Build(),
               tables, tick);
  GrantLeases(tables, tick);
  std::int64_t granted = 0;
  for (const SchedulerEffect& effect : tick.TakeEffects()) {
    const auto* sent = std::get_if<SendToRunner>(&effect);
    if (sent == nullptr) continue;
    const auto* grant = std::get_if<GrantLease>(&sent->message());
    if (grant != nullptr) granted = grant->report();
  }
  BOOST_TEST(granted == 1);
}

// The runner of an unresponsive worker extends no lease. Counting a grant would
// hold the tasks back for another lease after the worker has been lost.
BOOST_AUTO_TEST_CASE(an_unresponsive_worker_is_granted_no_lease) {
  PlacementFleet fleet(1);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  Random random(1);
  SchedulerTick tick(kFleetNow + milliseconds(800), random, tables.counters_);
  HandleReport(ConnectionId(1),
               WorkerReport::Builder().number(1).silent(true).Build(), tables,
               tick);
  GrantLeases(tables, tick);
  BOOST_TEST((tables.workers_.Find(name)->granted_at() == kFleetNow));
}

// An agent returns without its worker, on which nothing ran. Later failovers
// must not wait for the worker.
BOOST_AUTO_TEST_CASE(an_idle_worker_lost_with_its_agent_is_confirmed_lost) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  for (std::size_t i = 0; i < kAgents; ++i) {
    if (i == *cell.Holder() || cell.worker(i).running() > 0) continue;
    cell.worker(i).Crash();
    cell.KillAgent(i);
    cell.RunFor(milliseconds(500));
    cell.StartAgent(i);
    cell.RunFor(kLeaseAndPlacement);
    const MemberName name("agent-" + std::to_string(i));
    BOOST_TEST(cell.scheduler(*cell.Holder()).confirmed_lost_.count(name) ==
               1U);
    return;
  }
  BOOST_FAIL("no idle worker beside the holder's");
}

// Agents without workers follow the new holder. A failover must wait for the
// leases that may be left, not for a majority of workers.
BOOST_AUTO_TEST_CASE(a_takeover_needs_no_majority_of_workers) {
  SpreadCell spread;
  VirtualCell& cell = spread.cell_;
  std::vector<std::size_t> killed = {*cell.Holder()};
  for (std::size_t i = 0; i < kAgents && killed.size() < 3; ++i) {
    if (i != killed.front()) killed.push_back(i);
  }
  for (const std::size_t agent : killed) {
    cell.worker(agent).Crash();
    cell.KillAgent(agent);
  }
  cell.RunFor(milliseconds(500));
  for (const std::size_t agent : killed) cell.StartAgent(agent);
  cell.RunFor(seconds(10));
  BOOST_REQUIRE(cell.Holder().has_value());
  const SchedulerTables& tables = cell.scheduler(*cell.Holder());
  BOOST_TEST(tables.tasks_.unreconciled().empty());
}

// A report may be lost with its connection. The notice that the worker has left
// must be part of every full report until another worker is known.
BOOST_AUTO_TEST_CASE(a_notice_of_a_shutdown_is_repeated_in_the_next_session) {
  RunnerNode node(RunnerPolicy(), 1);
  node.RunTick(kFleetNow, OpenSession(1));
  const WorkerDescription worker = WorkerDescription::Builder()
                                       .worker("worker")
                                       .born_ms(1)
                                       .service(ServiceName("service"))
                                       .Build();
  const std::vector<RunnerInput> announced = {
      WorkerAnnounced::Builder().facts(worker).sequence(1).Build()};
  node.RunTick(kFleetNow, announced);
  const std::vector<RunnerInput> left = {
      WorkerLeft::Builder().worker("worker").Build()};
  const auto first = node.RunTick(kFleetNow + milliseconds(10), left);
  BOOST_REQUIRE(FindReport(first) != nullptr);
  BOOST_TEST(FindReport(first)->worker_left());
  const auto second =
      node.RunTick(kFleetNow + milliseconds(20), OpenSession(2));
  BOOST_REQUIRE(FindReport(second) != nullptr);
  BOOST_TEST(FindReport(second)->worker_left());
}

// Machines that are replaced stay members for ever. Once they outnumber the
// others, a failover waits longer than for the leases that may be left.
BOOST_AUTO_TEST_CASE(a_takeover_needs_no_majority_of_replaced_machines) {
  constexpr std::size_t kMembers = 9;
  constexpr std::size_t kReplaced = 5;
  VirtualCell cell(kMembers, 2, 1);
  cell.RunFor(seconds(3));
  std::size_t replaced = 0;
  for (std::size_t i = 0; i < kMembers && replaced < kReplaced; ++i) {
    if (i == *cell.Holder()) continue;
    cell.ShutDownWorker(i);
    cell.RunFor(seconds(1));
    cell.KillAgent(i);
    ++replaced;
  }
  cell.Submit(SpreadJob());
  cell.RunFor(seconds(2));
  const std::size_t holder = *cell.Holder();
  cell.worker(holder).Crash();
  cell.KillAgent(holder);
  cell.RunFor(seconds(3));
  BOOST_REQUIRE(cell.Holder().has_value());
  const SchedulerTables& tables = cell.scheduler(*cell.Holder());
  BOOST_TEST(tables.tasks_.unreconciled().size() == 1U);
  cell.RunFor(seconds(6));
  BOOST_TEST(tables.tasks_.unreconciled().empty());
}

// A holder without the store acts for as long as a majority of runners follows
// it. Machines that have been replaced must not count.
BOOST_AUTO_TEST_CASE(a_holder_without_the_store_needs_no_replaced_machine) {
  constexpr int kMembers = 11;
  constexpr int kReplaced = 6;
  PlacementFleet fleet(kMembers);
  SchedulerTables& tables = fleet.tables();
  for (int i = 0; i < kReplaced; ++i) {
    const MemberName name = PlacementFleet::Name(i);
    tables.members_.Put(name, MemberRow::Builder(*tables.members_.Find(name))
                                  .connection(std::nullopt)
                                  .Build());
  }
  tables.term_ =
      HolderTerm::Builder(tables.term_).confirmed_at(Instant()).Build();
  BOOST_TEST(!MayAct(tables, kFleetNow));
  for (int i = 0; i < kReplaced; ++i) {
    tables.confirmed_lost_.insert(PlacementFleet::Name(i));
  }
  BOOST_TEST(!MayAct(tables, kFleetNow));
  tables.stored_lost_ = tables.confirmed_lost_;
  BOOST_TEST(MayAct(tables, kFleetNow));
}

// The list of a new session contains the end of an earlier run of the task,
// which has not been acknowledged. It is no trace of the later run, whose start
// was lost with the connection.
BOOST_AUTO_TEST_CASE(an_earlier_end_does_not_hide_that_a_start_was_lost) {
  PlacementFleet fleet(1);
  const std::uint64_t job =
      fleet.AddRunning(JobStep::Builder().count(1).cpu(1000).Build(), 0);
  const MemberName name = PlacementFleet::Name(0);
  SchedulerTables& tables = fleet.tables();
  const TaskKey task = TaskKey::Builder().job(job).index(0).Build();
  tables.tasks_.Put(task,
                    JobTask::Builder(*tables.tasks_.Find(task)).run(2).Build());
  tables.workers_.Put(name, WorkerRow::Builder(*tables.workers_.Find(name))
                                .listing(RunListing::kNone)
                                .Build());
  const RunEnd lapsed = RunEnd::Builder()
                            .number(1)
                            .run(RunKey::Builder().task(task).run(1).Build())
                            .outcome(RunOutcome::kLapsed)
                            .Build();
  fleet.Report(0, WorkerReport::Builder()
                      .number(1)
                      .whole(true)
                      .facts(*tables.workers_.Find(name)->facts())
                      .ends({lapsed})
                      .Build());
  BOOST_TEST(fleet.Waiting(job) == 1U);
}

// Each connection of an agent began the wait for its answer anew, so that one
// that connects and falls silent again and again kept its tasks for ever.
BOOST_AUTO_TEST_CASE(connections_without_an_answer_do_not_prolong_the_wait) {
  PlacementFleet fleet(2);
  fleet.AddRunning(JobStep::Builder().count(1).cpu(1000).Build(), 0);
  SchedulerTables& tables = fleet.tables();
  Random random(1);
  ConnectionId open(1);
  std::uint64_t last_connection = 10;
  // The lease, and the time in which an agent answers, before and after its
  // first new connection.
  const Duration limit = MaxLeaseDuration(seconds(5)) + 2 * milliseconds(1500);
  for (Duration passed{}; passed <= limit; passed += milliseconds(100)) {
    SchedulerTick tick(kFleetNow + passed, random, tables.counters_);
    tables.last_tick_ = tick.now();
    tables.attention_ = tick.now();
    tables.term_ =
        HolderTerm::Builder(tables.term_).confirmed_at(tick.now()).Build();
    if (passed % seconds(1) == Duration()) {
      DisconnectMember(ConnectionClosed::Builder().connection(open).Build(),
                       tables, tick);
    } else if (passed % milliseconds(500) == Duration()) {
      open = ConnectionId(++last_connection);
      // The process has started again, every other time.
      AddMember(PlacementFleet::Name(0),
                MemberRecord::Builder()
                    .role(MemberRole::kRunner)
                    .incarnation(last_connection / 2)
                    .Build(),
                tables, tick);
      ConnectMember(PeerConnected::Builder()
                        .connection(open)
                        .member(PlacementFleet::Name(0))
                        .Build(),
                    tables, tick);
    }
    ExpireWorkers(tables, tick);
  }
  BOOST_TEST(fleet.TasksOnWorker(0) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
