#ifndef QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_
#define QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_

#include <cstdint>

namespace quetzalline {

/// A number that grows with every start of a process on one instance and is
/// unlike those of other processes with high probability.
std::uint64_t DrawIncarnation();

/// A seed for the draws of this process.
std::uint64_t DrawSeed();

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_PROCESS_IDENTITY_H_
