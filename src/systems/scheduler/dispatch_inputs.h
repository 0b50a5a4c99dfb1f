#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_DISPATCH_INPUTS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_DISPATCH_INPUTS_H_

#include <span>

#include "messages/scheduler_input.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Dispatches each input of the tick to its system. Closed connections come
/// first, so that messages received on them earlier do not count as contact.
void DispatchInputs(std::span<const SchedulerInput> inputs,
                    SchedulerTables& tables, SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_DISPATCH_INPUTS_H_
