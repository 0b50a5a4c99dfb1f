#ifndef QUETZALLINE_TABLES_TRACKED_RUN_STAGE_H_
#define QUETZALLINE_TABLES_TRACKED_RUN_STAGE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// State of a run at its worker. kQueued: the start was not sent, so the run
/// does not exist. kUnresolved: the outcome of the start call is unknown, so
/// the run may or may not exist.
enum class TrackedRunStage : std::uint8_t {
  kQueued,
  kStarting,
  kUnresolved,
  kRunning,
  kStopping
};

BOOST_DESCRIBE_ENUM(TrackedRunStage, kQueued, kStarting, kUnresolved, kRunning,
                    kStopping)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TRACKED_RUN_STAGE_H_
