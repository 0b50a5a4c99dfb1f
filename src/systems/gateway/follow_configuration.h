#ifndef QUETZALLINE_SYSTEMS_GATEWAY_FOLLOW_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_FOLLOW_CONFIGURATION_H_

#include "messages/kvs_answer.h"
#include "systems/gateway/gateway_tick.h"
#include "tables/gateway_tables.h"

namespace quetzalline {

/// Keeps one read or watch of the configuration under way.
void FollowConfiguration(GatewayTables& tables, GatewayTick& tick);

void TakeConfigurationAnswer(const KvsAnswer& answer, GatewayTables& tables,
                             GatewayTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_FOLLOW_CONFIGURATION_H_
