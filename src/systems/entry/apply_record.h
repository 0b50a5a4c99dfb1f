#ifndef QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_
#define QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_

#include "core/time.h"
#include "records/journal_record.h"
#include "tables/task_table.h"

namespace quetzalline {

/// Applies one durable record to the tasks. A record that does not fit the
/// state of its task has no effect, so applying a record twice is harmless.
void ApplyRecord(const JournalRecord& record, TaskTable& tasks, Instant now);

/// Loads a task of a snapshot into the table of a new holder (of the cell's
/// leader lease). Its times start again at `now`, an assignment that was not
/// durable is dropped, and an assigned task counts as not running until its
/// agent reports it.
void LoadTask(const Task& task, TaskTable& tasks, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_
