#ifndef QUETZALLINE_TABLES_EXECUTION_STATE_H_
#define QUETZALLINE_TABLES_EXECUTION_STATE_H_

#include <variant>

#include "tables/abandoned.h"
#include "tables/answered.h"
#include "tables/queued.h"
#include "tables/running.h"

namespace quetzalline {

/// State of an attempt at the agent.
using ExecutionState = std::variant<Queued, Running, Abandoned, Answered>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_EXECUTION_STATE_H_
