#ifndef QUETZALLINE_CORE_RUN_OUTCOME_H_
#define QUETZALLINE_CORE_RUN_OUTCOME_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Outcome of a run of a task, as the worker reports it.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kAlone
};

BOOST_DESCRIBE_ENUM(RunOutcome, kDone, kFailed, kStopped, kLapsed, kBroken,
                    kAlone)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RUN_OUTCOME_H_
