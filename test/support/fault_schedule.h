#ifndef QUETZALLINE_TEST_SUPPORT_FAULT_SCHEDULE_H_
#define QUETZALLINE_TEST_SUPPORT_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalline {

/// Holds the violated guarantees of a schedule, and the numbers of requests
/// that were done and tasks that finished, which show that it made progress.
struct ScheduleResult {
  std::vector<std::string> violations_;
  std::int64_t done_ = 0;
  std::int64_t tasks_finished_ = 0;
};

/// Runs a fleet of two regions under requests, jobs, publications and faults
/// that are all drawn from the seed, then repairs every fault, lets the fleet
/// recover and checks its final state.
ScheduleResult RunFaultSchedule(std::uint64_t seed);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_FAULT_SCHEDULE_H_
