#include "support/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace quetzalline {
namespace {

constexpr std::uint64_t kSeeds = 300;

// A number from the environment, for longer runs and for single seeds.
std::uint64_t Setting(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fault_schedules)

BOOST_AUTO_TEST_CASE(no_seed_breaks_a_promise) {
  const std::uint64_t first = Setting("QUETZALLINE_FIRST_SEED", 1);
  const std::uint64_t seeds = Setting("QUETZALLINE_SEEDS", kSeeds);
  std::int64_t done = 0;
  std::int64_t tasks = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const ScheduleResult result = RunFaultSchedule(seed);
    done += result.done_;
    tasks += result.tasks_finished_;
    for (const std::string& breach : result.violated_) {
      BOOST_ERROR(breach << "; repeat with scripts/fault-schedules " << seed
                         << " 1");
    }
  }
  // A schedule that stops all work would break no promise either.
  BOOST_TEST(done > static_cast<std::int64_t>(seeds) * 20);
  BOOST_TEST(tasks > static_cast<std::int64_t>(seeds));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
