#ifndef QUETZALLINE_RECORDS_TASK_STATE_H_
#define QUETZALLINE_RECORDS_TASK_STATE_H_

#include <variant>

#include "records/assigned.h"
#include "records/assigning.h"
#include "records/cancelled.h"
#include "records/finished.h"
#include "records/given_up.h"
#include "records/waiting.h"

namespace quetzalline {

/// State of a task.
using TaskState =
    std::variant<Waiting, Assigning, Assigned, Finished, GivenUp, Cancelled>;

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_TASK_STATE_H_
