#ifndef QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_

#include "systems/entry/entry_inbox.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Follows assigned tasks: sends their starts and stops until agents confirm
/// them, queues their ends for the journal, and finds tasks whose instance is
/// lost. A task is taken from an instance only when its agent reported the end,
/// when the agent was replaced and no longer holds it, or when the last lease
/// granted to the instance is over.
void TrackTasks(const EntryInbox& inbox, EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_TRACK_TASKS_H_
