#ifndef QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_
#define QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_

#include <variant>

#include "core/done.h"
#include "core/not_run.h"
#include "core/unknown.h"

namespace quetzalline {

/// Outcome of an attempt or of a whole request.
using AttemptOutcome = std::variant<Done, NotRun, Unknown>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ATTEMPT_OUTCOME_H_
