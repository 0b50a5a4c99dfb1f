#ifndef QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Tracks assigned tasks: sends start and stop commands until agents confirm
/// them, queues the ends of tasks for the journal, and finds tasks whose
/// instance is lost. A task is removed from an instance only when its agent
/// reported the end, when the agent was replaced by a new incarnation that does
/// not hold the task, or when the last lease granted to the instance has
/// expired.
void TrackTasks(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_
