#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "support/virtual_cell.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 12;

JobDefinition Job(std::int32_t count, Duration time) {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder()
                  .count(count)
                  .cpu(100)
                  .memory_mb(100)
                  .estimate(time)
                  .Build()})
      .Build();
}

JobDefinition LongRunning(std::int32_t count) {
  return JobDefinition::Builder()
      .spec("spec")
      .steps({JobStep::Builder()
                  .count(count)
                  .cpu(500)
                  .memory_mb(100)
                  .estimate(milliseconds(500))
                  .long_running(true)
                  .Build()})
      .Build();
}

// A cell that runs long-running tasks on all of its workers, and whose holder's
// ticks take processor time.
class LateCell {
 public:
  LateCell() : cell_(kAgents, 2, 1) {
    cell_.RunFor(seconds(3));
    long_running_ = cell_.Submit(LongRunning(2 * kAgents));
    cell_.RunFor(seconds(2));
    holder_ = *cell_.Holder();
    BOOST_REQUIRE(StartsOf(long_running_) == 2 * kAgents);
  }
  ~LateCell() {
    for (const std::string& violation : cell_.log().violations()) {
      BOOST_ERROR(violation);
    }
  }

  std::size_t StartsOf(std::uint64_t job) const {
    return static_cast<std::size_t>(cell_.log().StartsOf(job));
  }
  void SlowDownHolder(const ProcessorCost& cost) {
    cell_.SetProcessorCost(holder_, cost);
  }
  // Returns the session numbers given out so far. A connection that is closed
  // and opened again takes another one.
  std::int64_t Sessions() const {
    return cell_.scheduler(holder_).last_session_;
  }

  VirtualCell cell_;
  std::size_t holder_ = 0;
  std::uint64_t long_running_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_holders)

// The holder handles a flood of starts in ticks of seconds. Ends that wait
// unread in the meantime must not be started again, and running tasks must not
// be given up.
BOOST_AUTO_TEST_CASE(ends_that_wait_unread_are_not_started_again) {
  LateCell run;
  run.SlowDownHolder(ProcessorCost::Builder()
                         .input(milliseconds(3))
                         .effect(milliseconds(8))
                         .Build());
  std::vector<std::uint64_t> jobs;
  constexpr std::int32_t kTasks = 10;
  for (int i = 0; i < 30; ++i) {
    jobs.push_back(run.cell_.Submit(Job(kTasks, milliseconds(400)), 1));
    if (i % 10 == 9) run.cell_.RunFor(seconds(2));
  }
  run.cell_.RunFor(seconds(20));
  run.SlowDownHolder(ProcessorCost());
  run.cell_.RunFor(seconds(20));
  for (const std::uint64_t job : jobs) {
    if (!run.cell_.IsAccepted(job)) continue;
    BOOST_TEST(run.StartsOf(job) == static_cast<std::size_t>(kTasks));
  }
  BOOST_TEST(run.StartsOf(run.long_running_) == 2 * kAgents);
}

// A holder that reads the reports late must not take the agents for silent.
BOOST_AUTO_TEST_CASE(a_late_holder_closes_no_connection) {
  LateCell run;
  const std::int64_t sessions = run.Sessions();
  // 30 reports a second take about 0.9 s.
  run.SlowDownHolder(ProcessorCost::Builder()
                         .input(milliseconds(20))
                         .effect(milliseconds(2))
                         .Build());
  run.cell_.Submit(Job(100, milliseconds(400)));
  run.cell_.RunFor(seconds(15));
  BOOST_TEST(run.Sessions() == sessions);
  BOOST_TEST(run.StartsOf(run.long_running_) == 2 * kAgents);
}

// A burst of jobs delays its own starts, and neither the leases of what runs
// nor the acknowledgement of other work.
BOOST_AUTO_TEST_CASE(a_burst_of_jobs_delays_no_lease) {
  LateCell run;
  run.SlowDownHolder(ProcessorCost::Builder().effect(milliseconds(5)).Build());
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back(run.cell_.Submit(Job(20, seconds(5)), 1));
  }
  run.cell_.RunFor(seconds(30));
  BOOST_TEST(run.StartsOf(run.long_running_) == 2 * kAgents);
  // A thirtieth of a lease; a grant that is due may wait behind one tick.
  BOOST_TEST(
      (run.cell_.processor(run.holder_).longest_tick() <= milliseconds(1000)));
}

// An agent whose ticks are late, none of them by as much as a stall, must not
// start what was ordered seconds ago: its job may have been cancelled.
BOOST_AUTO_TEST_CASE(an_agent_whose_ticks_are_late_starts_nothing_that_waited) {
  RunnerNode runner(RunnerPolicy(), 1);
  Instant now(seconds(100));
  const RunnerInput attach =
      RunnerMessageReceived::Builder()
          .connection(ConnectionId(1))
          .message(AttachRunner::Builder().epoch(1).session(1).Build())
          .Build();
  runner.RunTick(now, std::vector<RunnerInput>{attach});
  const auto tick = [&](Duration pause) {
    now += pause;
    // The holder goes on granting leases.
    const RunnerInput grant = RunnerMessageReceived::Builder()
                                  .connection(ConnectionId(1))
                                  .message(GrantLease())
                                  .Build();
    runner.RunTick(now, std::vector<RunnerInput>{grant});
    return runner.tables().commands_stale_until_ > now;
  };
  BOOST_TEST(!tick(milliseconds(1200)));
  BOOST_TEST(tick(milliseconds(1200)));
  BOOST_TEST(tick(milliseconds(1200)));
  for (int i = 0; i < 10; ++i) tick(milliseconds(100));
  BOOST_TEST(!tick(milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
