#ifndef QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_
#define QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_

#include "core/time.h"
#include "records/journal_record.h"
#include "tables/task_table.h"

namespace quetzalline {

/// Changes the tasks as one durable record says. A record that does not fit the
/// state of its task changes nothing, so that applying one twice is harmless.
void ApplyRecord(const JournalRecord& record, TaskTable& tasks, Instant now);

/// The tasks of a snapshot as a new holder starts with them.
void LoadTask(const Task& task, TaskTable& tasks, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_APPLY_RECORD_H_
