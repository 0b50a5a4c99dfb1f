#ifndef QUETZALLINE_TABLES_TASK_STAGE_H_
#define QUETZALLINE_TABLES_TASK_STAGE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Where a task of a job stands at the holder. A task in doubt may still run
/// where a holder before put it.
enum class TaskStage : std::uint8_t {
  kInDoubt,
  kBlocked,
  kReady,
  kAssigned,
  kDone
};

BOOST_DESCRIBE_ENUM(TaskStage, kInDoubt, kBlocked, kReady, kAssigned, kDone)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TASK_STAGE_H_
