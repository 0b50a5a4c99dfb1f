#ifndef QUETZALLINE_SYSTEMS_AGENT_AGENT_TICK_H_
#define QUETZALLINE_SYSTEMS_AGENT_AGENT_TICK_H_

#include "core/tick.h"
#include "messages/agent_effect.h"

namespace quetzalline {

using AgentTick = Tick<AgentEffect>;

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_AGENT_AGENT_TICK_H_
