#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_TAKE_INPUTS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_TAKE_INPUTS_H_

#include <span>

#include "messages/scheduler_input.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Hands each input of the tick to the system that it concerns. Connections
/// that closed come first, so that what arrived on them before does not count
/// as a sign of life.
void TakeInputs(std::span<const SchedulerInput> inputs, SchedulerTables& tables,
                SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_TAKE_INPUTS_H_
