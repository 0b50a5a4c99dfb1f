#ifndef QUETZALLINE_SYSTEMS_GATEWAY_SERVE_CALLERS_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_SERVE_CALLERS_H_

#include "messages/connection_closed.h"
#include "messages/gateway_message.h"
#include "messages/job_call.h"
#include "systems/gateway/gateway_tick.h"
#include "tables/gateway_tables.h"

namespace quetzalline {

/// Finds the queue of a caller's request and passes the request to the holder,
/// or answers it at once.
void TakeJobCall(const JobCall& call, GatewayTables& tables, GatewayTick& tick);

/// Takes up a holder's answer, or its sign of life.
void TakeGatewayMessage(ConnectionId connection, const GatewayMessage& message,
                        GatewayTables& tables, GatewayTick& tick);

/// What was sent on a lost connection has an unknown outcome.
void LoseHolder(const ConnectionClosed& closed, GatewayTables& tables,
                GatewayTick& tick);

/// Closes silent connections and answers calls whose time is over.
void ExpireCalls(GatewayTables& tables, GatewayTick& tick);

/// Takes over a configuration unless a later one is in force.
void ApplyConfiguration(const SchedulerConfiguration& configuration,
                        GatewayTables& tables, GatewayTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_SERVE_CALLERS_H_
