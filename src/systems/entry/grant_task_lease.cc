#include "systems/entry/grant_task_lease.h"

#include <algorithm>

namespace quetzalline {
namespace {

// Returns true if this process may grant leases. A holder that cannot reach the
// store continues to grant them for a bounded time.
bool MayGrant(const EntryTables& tables, Instant now) {
  const CellHolding& cell = tables.cell_;
  if (!std::holds_alternative<Holding>(cell.stage())) return false;
  return now < cell.valid_until() + tables.policy_.outage_lease();
}

}  // namespace

std::uint64_t GrantTaskLease(const EndpointId& endpoint, EntryTables& tables,
                             Instant now) {
  if (!MayGrant(tables, now)) return 0;
  const Endpoint* row = tables.endpoints_.Find(endpoint);
  if (row == nullptr) return 0;
  const EntryPolicy& policy = tables.policy_;
  const Instant end = now + policy.task_lease() + policy.drift_margin();
  tables.endpoints_.Put(
      Endpoint::Builder(*row)
          .task_lease_end(std::max(end, row->task_lease_end()))
          .Build());
  return tables.cell_.epoch();
}

}  // namespace quetzalline
