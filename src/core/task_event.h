#ifndef QUETZALLINE_CORE_TASK_EVENT_H_
#define QUETZALLINE_CORE_TASK_EVENT_H_

#include <variant>

#include "core/task_failed.h"
#include "core/task_finished.h"
#include "core/task_refused.h"
#include "core/task_started.h"
#include "core/task_stopped.h"

namespace quetzalline {

/// An event of one task attempt, reported by the agent that runs it.
using TaskEvent = std::variant<TaskStarted, TaskFinished, TaskFailed,
                               TaskStopped, TaskRefused>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_TASK_EVENT_H_
