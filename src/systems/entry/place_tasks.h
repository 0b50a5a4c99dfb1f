#ifndef QUETZALLINE_SYSTEMS_ENTRY_PLACE_TASKS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_PLACE_TASKS_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Assigns ready tasks to instances that have the free capacity for their
/// declared needs: urgent tasks first, then those that have waited longest. A
/// task that fits nowhere is deferred for a while, so that it does not delay
/// others.
void PlaceTasks(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_PLACE_TASKS_H_
