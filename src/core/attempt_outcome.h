#ifndef QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_
#define QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_

#include <variant>

#include "core/done.h"
#include "core/not_run.h"
#include "core/unknown.h"

namespace quetzalline {

/// How an attempt, or a whole request, ended.
using AttemptOutcome = std::variant<Done, NotRun, Unknown>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_
