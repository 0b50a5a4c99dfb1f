#ifndef QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
#define QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalline {

/// Runs a cell under random jobs and random faults, all drawn from the seed,
/// then repairs every fault, lets the cell recover, and returns a description
/// of each violated guarantee. An empty result means that none was violated.
std::vector<std::string> RunCellSchedule(std::uint64_t seed);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
