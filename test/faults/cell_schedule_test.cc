#include "support/cell_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace quetzalline {
namespace {

std::uint64_t ReadNumber(const char* variable, std::uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text == nullptr ? default_value : std::stoull(text);
}

// Seeds that once violated an invariant; they lie beyond the default range.
constexpr std::uint64_t kRegressionSeeds[] = {
    // Completions of a worker's earlier incarnation counted for the next one.
    449,
    // A runner executed commands that had queued while it was stalled.
    508,
    // A stalled holder acted before the store had confirmed its epoch.
    577,
    // Tasks of an unresponsive worker were reclaimed on an old confirmation.
    867,
    // Completions were acknowledged before the job's final state was stored.
    1367,
    // Tasks were reconciled although a later holder had renewed a lease.
    4771,
    // The capacity of a superseded run was reused while it still stopped.
    5587,
    // The worker model let a new incarnation execute a command meant for the
    // previous one.
    7265,
    // A previous holder reported a job of its successor as not found.
    8850,
};

void RunSeed(std::uint64_t seed) {
  for (const std::string& violation : RunCellSchedule(seed)) {
    BOOST_ERROR("seed " << seed << ": " << violation
                        << "; reproduce with scripts/cell-schedules " << seed
                        << " 1");
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_schedules)

// Guards against orders of faults that no single test covers. To run more
// seeds, use scripts/cell-schedules.
BOOST_AUTO_TEST_CASE(random_schedules_violate_no_invariant) {
  const std::uint64_t first = ReadNumber("QUETZALLINE_FIRST_SEED", 1);
  const std::uint64_t count = ReadNumber("QUETZALLINE_SEEDS", 150);
  for (std::uint64_t seed = first; seed < first + count; ++seed) RunSeed(seed);
}

BOOST_AUTO_TEST_CASE(regression_seeds_violate_no_invariant) {
  for (const std::uint64_t seed : kRegressionSeeds) RunSeed(seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
