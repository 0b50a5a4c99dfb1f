#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_LEADER_ELECTION_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_LEADER_ELECTION_H_

#include "messages/kvs_result.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Runs the leader election of the cell. The process that owns the leader lease
/// is the cell's holder. A follower watches the holder's key and claims the
/// cell when the key is gone; the holder renews its lease. The lease only
/// selects a holder. Safety against a former holder comes from the epoch, which
/// acts as a fencing token: every commit expects it and runners compare it.
void RunLeaderElection(SchedulerTables& tables, SchedulerTick& tick);

/// Handles the request to stop. From then on this process claims the cell no
/// more. A holder first hands over its workers to the next one.
void ResignCell(SchedulerTables& tables, SchedulerTick& tick);

/// Ends the lease of a stopping holder once it has handed over its workers, so
/// that another process can claim the cell without waiting for the lease to
/// expire. If the store is slow, it ends without the handover.
void ReleaseCell(SchedulerTables& tables, SchedulerTick& tick);

/// Gives up the cell: drops all connections, clears the state of the term and
/// returns to following. The cause is logged.
void StepDown(std::string_view cause, SchedulerTables& tables,
              SchedulerTick& tick);

/// Handles a read of the holder's key; `round_trip` is the duration of that
/// read.
void HandleHolderRead(const KvsResult& result, Duration round_trip,
                      SchedulerTables& tables, SchedulerTick& tick);
/// Handles the result of a watch on the holder's key.
void HandleHolderWatch(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick);
/// Handles the read of the current epoch and sends the claim for the next
/// epoch.
void HandleEpochRead(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick);
/// Handles a newly opened lease, either for a claim or as the replacement of a
/// holder lease that the store has dropped.
void HandleHolderLease(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick);
/// Handles the result of a claim; on success the term begins.
void HandleClaimResult(const KvsResult& result, Instant asked_at,
                       SchedulerTables& tables, SchedulerTick& tick);
/// Handles a lease renewal. A new lease is opened if the store no longer knows
/// the old one.
void HandleRenewalResult(const KvsResult& result, SchedulerTables& tables,
                         SchedulerTick& tick);

/// Returns the identity that this process writes to the holder's key: the
/// member name and the incarnation.
std::string HolderIdentity(const SchedulerPolicy& policy);

/// Returns true if the process holds the cell, including while it loads the
/// stored state.
bool IsHolder(const SchedulerTables& tables);
/// Returns true if the process holds the cell and has loaded the stored state,
/// so that it may place work.
bool IsActing(const SchedulerTables& tables);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_LEADER_ELECTION_H_
