#ifndef QUETZALLINE_SYSTEMS_RUNNER_MANAGE_HOLDER_SESSION_H_
#define QUETZALLINE_SYSTEMS_RUNNER_MANAGE_HOLDER_SESSION_H_

#include "messages/acknowledge_run_ends.h"
#include "messages/attach_runner.h"
#include "messages/connection_closed.h"
#include "messages/grant_lease.h"
#include "messages/holder_epoch_seen.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Follows the holder of the cell's leader lease if it has a higher epoch than
/// the followed one, or a newer session of the same epoch. Notifies any other
/// holder that it was superseded and closes its connection.
void HandleAttach(ConnectionId connection, const AttachRunner& attach,
                  RunnerTables& tables, RunnerTick& tick);

/// Handles the epoch of the holder that the store shows to this process. A
/// holder of an earlier epoch is told that it was superseded.
void HandleHolderEpochSeen(const HolderEpochSeen& seen, RunnerTables& tables,
                           RunnerTick& tick);

/// Extends the worker's lease, counted from the time at which the report that
/// the grant refers to was sent. Ignores grants for unknown reports and while
/// the worker is unresponsive.
void HandleLeaseGrant(const GrantLease& grant, RunnerTables& tables,
                      RunnerTick& tick);

/// Handles the acknowledgement of completions that the holder has stored, so
/// that the worker may discard them.
void HandleAcknowledgedCompletions(const AcknowledgeRunEnds& noted,
                                   RunnerTables& tables);

/// Stops using the holder's connection if it is the one that was closed, and
/// withdraws its starts that were not sent. Its epoch and session remain known.
void HandleHolderDisconnected(const ConnectionClosed& closed,
                              RunnerTables& tables, RunnerTick& tick);

/// Closes the connection to the holder if it has sent no lease grant for the
/// policy's `holder_silence`.
void CheckHolderContact(RunnerTables& tables, RunnerTick& tick);

/// Sends the holder a report of the changes when one is due, and a full report
/// at the start of a session.
void SendDueReport(RunnerTables& tables, RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_MANAGE_HOLDER_SESSION_H_
