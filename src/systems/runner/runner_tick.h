#ifndef QUETZALLINE_SYSTEMS_RUNNER_RUNNER_TICK_H_
#define QUETZALLINE_SYSTEMS_RUNNER_RUNNER_TICK_H_

#include "core/tick.h"
#include "messages/runner_effect.h"

namespace quetzalline {

using RunnerTick = Tick<RunnerEffect>;

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_RUNNER_RUNNER_TICK_H_
