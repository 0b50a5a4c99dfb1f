#ifndef QUETZALLINE_SYSTEMS_ENTRY_DISTRIBUTE_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_ENTRY_DISTRIBUTE_CONFIGURATION_H_

#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Sends each agent the services that changed since the revision that it last
/// reported: at once after a change, and again at intervals while the agent
/// lags.
void DistributeConfiguration(EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_DISTRIBUTE_CONFIGURATION_H_
