#ifndef QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_
#define QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_

#include <cstdint>

namespace quetzalline {

/// Returns an incarnation number for this process. It increases with each start
/// on one instance and is, with high probability, unique among processes.
std::uint64_t GenerateIncarnation();

/// Returns a random seed for the random number generators of this process.
std::uint64_t GenerateSeed();

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_
