#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/virtual_cell.h"

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
