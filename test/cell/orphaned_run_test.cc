#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "support/virtual_cell.h"
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
