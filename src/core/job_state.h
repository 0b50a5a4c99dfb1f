#ifndef QUETZALLINE_CORE_JOB_STATE_H_
#define QUETZALLINE_CORE_JOB_STATE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// What a caller is told of its job.
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
