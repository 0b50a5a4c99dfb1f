#ifndef QUETZALLINE_MESSAGES_WORKER_VERDICT_H_
#define QUETZALLINE_MESSAGES_WORKER_VERDICT_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// How a worker took a call.
enum class WorkerVerdict : std::uint8_t {
  kDone,
  kFenced,
  kOld,
  kLate,
  kNoRoom,
  kUnhealthy,
  kInvalid,
  kOtherLife,
  kLost
};

BOOST_DESCRIBE_ENUM(WorkerVerdict, kDone, kFenced, kOld, kLate, kNoRoom,
                    kUnhealthy, kInvalid, kOtherLife, kLost)

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_VERDICT_H_
