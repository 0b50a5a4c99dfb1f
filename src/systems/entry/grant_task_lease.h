#ifndef QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_

#include <cstdint>

#include "core/ids.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Lets the instance of an endpoint keep its tasks for a while, if this process
/// holds the cell, and notes until when. The epoch of the grant, or zero where
/// none is made.
std::uint64_t GrantTaskLease(const EndpointId& endpoint, EntryTables& tables,
                             Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_
