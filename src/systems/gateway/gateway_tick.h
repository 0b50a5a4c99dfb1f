#ifndef QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_TICK_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_TICK_H_

#include "core/tick.h"
#include "messages/gateway_effect.h"

namespace quetzalline {

using GatewayTick = Tick<GatewayEffect>;

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_GATEWAY_TICK_H_
