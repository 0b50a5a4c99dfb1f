#ifndef QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
#define QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalline {

/// The faults that a schedule draws from. kTransient: each is repaired at the
/// end. kDepartures: also workers that are lost or shut down for good.
/// kLostAnswers: also workers that execute calls without answering and runs
/// that fail, in a cell of unequal distances. kCrashingTasks: also tasks that
/// crash their workers, and crashes of several workers at once.
enum class ScheduleFaults : std::uint8_t {
  kTransient,
  kDepartures,
  kLostAnswers,
  kCrashingTasks
};

/// Runs a cell under random jobs and random faults, all drawn from the seed,
/// then repairs every transient fault, lets the cell recover, and returns a
/// description of each violated guarantee. An empty result means that none was
/// violated.
std::vector<std::string> RunCellSchedule(
    std::uint64_t seed, ScheduleFaults faults = ScheduleFaults::kTransient);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
