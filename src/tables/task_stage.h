#ifndef QUETZALLINE_TABLES_TASK_STAGE_H_
#define QUETZALLINE_TABLES_TASK_STAGE_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// State of a job's task at the holder. A task in kInDoubt has an unknown
/// state: it may still run where a previous holder placed it. A task in
/// kQuarantined is ready, but starts in isolation only.
enum class TaskStage : std::uint8_t {
  kInDoubt,
  kBlocked,
  kReady,
  kAssigned,
  kDone,
  kQuarantined
};

BOOST_DESCRIBE_ENUM(TaskStage, kInDoubt, kBlocked, kReady, kAssigned, kDone,
                    kQuarantined)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TASK_STAGE_H_
