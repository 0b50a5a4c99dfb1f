#ifndef QUETZALLINE_SYSTEMS_GATEWAY_READ_CONFIGURATION_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_READ_CONFIGURATION_H_

#include "messages/kvs_answer.h"
#include "systems/gateway/gateway_tick.h"
#include "tables/gateway_tables.h"

namespace quetzalline {

/// Keeps one read or watch of the configuration outstanding.
void ReadConfiguration(GatewayTables& tables, GatewayTick& tick);

/// Handles the store's answer to a read or watch: applies the configuration in
/// it, or schedules a retry after a failure.
void HandleConfigurationAnswer(const KvsAnswer& answer, GatewayTables& tables,
                               GatewayTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_READ_CONFIGURATION_H_
