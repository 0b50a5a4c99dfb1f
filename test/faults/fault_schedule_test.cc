#include "support/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace quetzalline {
namespace {

constexpr std::uint64_t kDefaultSeeds = 300;

// Reads a number from an environment variable, so that a run can cover more
// seeds or a single one.
std::uint64_t ReadNumber(const char* variable, std::uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fault_schedules)

// Guards against orders of faults that no single test covers. To run more
// seeds, use scripts/fault-schedules.
BOOST_AUTO_TEST_CASE(random_schedules_violate_no_invariant) {
  const std::uint64_t first = ReadNumber("QUETZALLINE_FIRST_SEED", 1);
  const std::uint64_t seeds = ReadNumber("QUETZALLINE_SEEDS", kDefaultSeeds);
  std::int64_t done = 0;
  std::int64_t tasks = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const ScheduleResult result = RunFaultSchedule(seed);
    done += result.done_;
    tasks += result.tasks_finished_;
    for (const std::string& violation : result.violations_) {
      BOOST_ERROR(violation << "; reproduce with scripts/fault-schedules "
                            << seed << " 1");
    }
  }
  // A schedule in which no work runs would violate no invariant either.
  BOOST_TEST(done > static_cast<std::int64_t>(seeds) * 20);
  BOOST_TEST(tasks > static_cast<std::int64_t>(seeds));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
