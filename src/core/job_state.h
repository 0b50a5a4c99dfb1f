#ifndef QUETZALLINE_CORE_JOB_STATE_H_
#define QUETZALLINE_CORE_JOB_STATE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// State of a job as reported to its caller. kWithdrawn: it was cancelled
/// before a submission of it was accepted, so for its callers there is no such
/// job. New states are appended: the stored encoding holds the number.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  kWithdrawn
};

BOOST_DESCRIBE_ENUM(JobState, kQueued, kRunning, kCompleted, kFailed,
                    kCancelled, kWithdrawn)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_JOB_STATE_H_
