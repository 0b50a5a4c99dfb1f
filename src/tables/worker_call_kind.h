#ifndef QUETZALLINE_TABLES_WORKER_CALL_KIND_H_
#define QUETZALLINE_TABLES_WORKER_CALL_KIND_H_

#include <variant>

#include "tables/start_call.h"
#include "tables/status_poll_call.h"
#include "tables/stop_call.h"
#include "tables/throttle_call.h"

namespace quetzalline {

/// Type of a call to the worker.
using WorkerCallKind =
    std::variant<StartCall, StopCall, ThrottleCall, StatusPollCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_CALL_KIND_H_
