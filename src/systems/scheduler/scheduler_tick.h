#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_TICK_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_TICK_H_

#include "core/tick.h"
#include "messages/scheduler_effect.h"

namespace quetzalline {

/// The tick of a scheduler node: its time, random numbers, counters and
/// collected effects.
using SchedulerTick = Tick<SchedulerEffect>;

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_SCHEDULER_TICK_H_
