#ifndef QUETZALLINE_CORE_LIMITS_H_
#define QUETZALLINE_CORE_LIMITS_H_

#include <cstdint>

namespace quetzalline {

// Limits of numbers that other parties send or store. They are far above all
// that occurs, and sums over all tasks of a job do not overflow 64 bits.

/// Largest amount of a resource of a worker or a task.
inline constexpr std::int64_t kMaxResourceAmount = std::int64_t{1} << 40;
/// Longest duration in milliseconds: a year.
inline constexpr std::int64_t kMaxDurationMs = 31'536'000'000;
/// Latest time in Unix milliseconds: the end of the year 9999.
inline constexpr std::int64_t kMaxUnixMs = 253'402'300'799'999;
/// Largest factor by which a queue extends the deadlines of its jobs.
inline constexpr double kMaxStretch = 1000.0;
/// Largest number that is counted up, such as that of a run, with room to count
/// on.
inline constexpr std::int64_t kMaxSequenceNumber = std::int64_t{1} << 53;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_LIMITS_H_
