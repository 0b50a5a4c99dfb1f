#ifndef QUETZALLINE_SYSTEMS_GATEWAY_HANDLE_JOB_CALLS_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_HANDLE_JOB_CALLS_H_

#include "messages/connection_closed.h"
#include "messages/gateway_message.h"
#include "messages/job_call.h"
#include "systems/gateway/gateway_tick.h"
#include "tables/gateway_tables.h"

namespace quetzalline {

/// Finds the queue of a call and forwards the call to the holder of the cell's
/// leader lease, or answers it immediately if it is invalid, or if no holder or
/// no configuration is known.
void HandleJobCall(const JobCall& call, GatewayTables& tables,
                   GatewayTick& tick);

/// Handles a holder's answer, heartbeat or configuration notice.
void HandleGatewayMessage(ConnectionId connection,
                          const GatewayMessage& message, GatewayTables& tables,
                          GatewayTick& tick);

/// Handles the loss of a holder's connection. Calls that were sent on it are
/// answered with JobOutcomeUnknown.
void HandleHolderConnectionClosed(const ConnectionClosed& closed,
                                  GatewayTables& tables, GatewayTick& tick);

/// Closes the connections of holders whose heartbeats were missed, and answers
/// expired calls with JobOutcomeUnknown.
void ExpireHoldersAndCalls(GatewayTables& tables, GatewayTick& tick);

/// Applies a configuration unless the same or a later version is in force.
void ApplyConfiguration(const SchedulerConfiguration& configuration,
                        GatewayTables& tables, GatewayTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_HANDLE_JOB_CALLS_H_
