#ifndef QUETZALLINE_TABLES_IDLE_REASON_H_
#define QUETZALLINE_TABLES_IDLE_REASON_H_

#include <variant>

#include "tables/gang_incomplete.h"
#include "tables/holder_unconfirmed.h"
#include "tables/job_not_stored.h"
#include "tables/no_worker.h"
#include "tables/state_unknown.h"
#include "tables/step_blocked.h"
#include "tables/suspect_held.h"
#include "tables/worker_unheard.h"

namespace quetzalline {

/// Why a job that could be expected to run has nothing running.
using IdleReason =
    std::variant<NoWorker, GangIncomplete, SuspectHeld, StateUnknown,
                 WorkerUnheard, JobNotStored, HolderUnconfirmed, StepBlocked>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_IDLE_REASON_H_
