#ifndef QUETZALLINE_CORE_JOB_STATE_H_
#define QUETZALLINE_CORE_JOB_STATE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// State of a job as reported to its caller.
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

BOOST_DESCRIBE_ENUM(JobState, kQueued, kRunning, kCompleted, kFailed,
                    kCancelled)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_JOB_STATE_H_
