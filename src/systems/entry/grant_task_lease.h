#ifndef QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_
#define QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_

#include <cstdint>

#include "core/ids.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Grants the instance of an endpoint a lease on its tasks, if this process is
/// the holder of the cell's leader lease, and records when the lease ends.
/// Returns the epoch of the grant, or zero if none is made.
std::uint64_t GrantTaskLease(const EndpointId& endpoint, EntryTables& tables,
                             Instant now);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_GRANT_TASK_LEASE_H_
