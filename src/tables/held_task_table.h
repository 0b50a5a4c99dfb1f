#ifndef QUETZALLINE_TABLES_HELD_TASK_TABLE_H_
#define QUETZALLINE_TABLES_HELD_TASK_TABLE_H_

#include "core/ids.h"
#include "core/table.h"
#include "tables/held_task.h"

namespace quetzalline {

/// The task attempts that an instance was asked to run, at most one for each
/// task.
using HeldTaskTable = Table<TaskId, HeldTask>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HELD_TASK_TABLE_H_
