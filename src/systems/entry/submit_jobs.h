#ifndef QUETZALLINE_SYSTEMS_ENTRY_SUBMIT_JOBS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_SUBMIT_JOBS_H_

#include "messages/cancel_job.h"
#include "messages/submit_job.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Queues the tasks of a submitted job for the journal. The operator is
/// answered once they are durable; a job that is already known is accepted
/// again without effect. Refuses the command with kNotHolder, kUnknownService,
/// kInvalid (no such task) or kTableFull.
void HandleSubmitJob(std::uint64_t command, const SubmitJob& submit,
                     EntryTables& tables, EntryTick& tick);

/// Queues the cancellation of a job for the journal. The operator is answered
/// once it is durable, or at once if all tasks of the job have ended. Refuses
/// the command with kNotHolder or kUnknownJob.
void HandleCancelJob(std::uint64_t command, const CancelJob& cancel,
                     EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_SUBMIT_JOBS_H_
