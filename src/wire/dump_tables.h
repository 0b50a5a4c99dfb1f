#ifndef QUETZALLINE_WIRE_DUMP_TABLES_H_
#define QUETZALLINE_WIRE_DUMP_TABLES_H_

#include <string>

#include "core/time.h"
#include "tables/agent_tables.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Every table of a process as JSON. Times are on the process's own clock,
/// whose present reading comes along.
std::string DumpTables(const EntryTables& tables, Instant now);
std::string DumpTables(const AgentTables& tables, Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_DUMP_TABLES_H_
