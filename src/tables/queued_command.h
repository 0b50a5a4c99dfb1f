#ifndef QUETZALLINE_TABLES_QUEUED_COMMAND_H_
#define QUETZALLINE_TABLES_QUEUED_COMMAND_H_

#include <variant>

#include "tables/start_call.h"
#include "tables/stop_call.h"
#include "tables/throttle_call.h"

namespace quetzalline {

/// A command that waits to be sent to the worker.
using QueuedCommand = std::variant<StartCall, StopCall, ThrottleCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_QUEUED_COMMAND_H_
