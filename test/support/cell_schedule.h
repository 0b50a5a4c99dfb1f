#ifndef QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
#define QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalline {

/// Plays a cell through random jobs and random faults, then through a calm
/// time, and returns every promise that was broken.
std::vector<std::string> RunCellSchedule(std::uint64_t seed);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_CELL_SCHEDULE_H_
