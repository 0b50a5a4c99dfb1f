#include "support/cell_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace quetzalline {
namespace {

std::uint64_t NumberFrom(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::stoull(text);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_schedules)

// scripts/cell-schedules runs more seeds by hand.
BOOST_AUTO_TEST_CASE(no_random_schedule_breaks_a_promise) {
  const std::uint64_t first = NumberFrom("QUETZALLINE_FIRST_SEED", 1);
  const std::uint64_t count = NumberFrom("QUETZALLINE_SEEDS", 150);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    for (const std::string& what : RunCellSchedule(seed)) {
      BOOST_ERROR("seed " << seed << ": " << what
                          << "; again: scripts/cell-schedules " << seed
                          << " 1");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
