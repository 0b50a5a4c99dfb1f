#ifndef QUETZALLINE_SYSTEMS_RUNNER_FOLLOW_HOLDER_H_
#define QUETZALLINE_SYSTEMS_RUNNER_FOLLOW_HOLDER_H_

#include "messages/acknowledge_run_ends.h"
#include "messages/attach_runner.h"
#include "messages/connection_closed.h"
#include "messages/grant_lease.h"
#include "systems/runner/runner_tick.h"
#include "tables/runner_tables.h"

namespace quetzalline {

/// Follows a holder of a higher epoch, or a new session of the same; tells any
/// other that it was superseded.
void TakeAttach(ConnectionId connection, const AttachRunner& attach,
                RunnerTables& tables, RunnerTick& tick);

/// Extends the worker's lease, counted from the sending of the report that the
/// grant answers.
void TakeGrant(const GrantLease& grant, RunnerTables& tables, RunnerTick& tick);

/// Lets the worker forget ends that are kept.
void TakeNoted(const AcknowledgeRunEnds& noted, RunnerTables& tables);

void LoseConnection(const ConnectionClosed& closed, RunnerTables& tables);

/// Closes the connection of a holder that has gone silent.
void CheckHolder(RunnerTables& tables, RunnerTick& tick);

/// Tells the holder what has changed, or everything at the start of a session.
void ReportWorker(RunnerTables& tables, RunnerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_FOLLOW_HOLDER_H_
