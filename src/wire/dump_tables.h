#ifndef QUETZALLINE_WIRE_DUMP_TABLES_H_
#define QUETZALLINE_WIRE_DUMP_TABLES_H_

#include <string>

#include "core/time.h"
#include "tables/agent_tables.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Returns all tables of a process as JSON. Times refer to the clock of the
/// process; its current time is included as now_us.
std::string DumpTables(const EntryTables& tables, Instant now);
std::string DumpTables(const AgentTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_DUMP_TABLES_H_
