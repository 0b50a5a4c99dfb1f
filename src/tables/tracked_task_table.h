#ifndef QUETZALLINE_TABLES_TRACKED_TASK_TABLE_H_
#define QUETZALLINE_TABLES_TRACKED_TASK_TABLE_H_

#include "core/ids.h"
#include "core/table.h"
#include "tables/tracked_task.h"

namespace quetzalline {

/// The task attempts that an instance was asked to run, at most one for each
/// task.
using TrackedTaskTable = Table<TaskId, TrackedTask>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TRACKED_TASK_TABLE_H_
