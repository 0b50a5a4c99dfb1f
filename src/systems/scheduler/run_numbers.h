#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_RUN_NUMBERS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_RUN_NUMBERS_H_

#include <cstdint>

#include "tables/holder_term.h"

namespace quetzalline {

/// Number of run numbers per task and epoch. Disjoint ranges keep a later
/// holder from reusing a run number of an earlier one.
inline constexpr std::int64_t kRunsPerEpoch = 1000;

/// Returns the highest number that a run of an earlier term can have.
inline std::int64_t LastEarlierRun(const HolderTerm& term) {
  return (term.epoch() - 1) * kRunsPerEpoch;
}

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_RUN_NUMBERS_H_
