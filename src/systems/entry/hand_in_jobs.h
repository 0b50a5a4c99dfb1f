#ifndef QUETZALLINE_SYSTEMS_ENTRY_HAND_IN_JOBS_H_
#define QUETZALLINE_SYSTEMS_ENTRY_HAND_IN_JOBS_H_

#include "messages/cancel_job.h"
#include "messages/submit_job.h"
#include "systems/entry/entry_tick.h"
#include "tables/entry_tables.h"

namespace quetzalline {

/// Queues the tasks of a job for the journal. The operator is answered once
/// they are durable; a job that is known already is accepted again.
void SubmitJobRequest(std::uint64_t command, const SubmitJob& submit,
                      EntryTables& tables, EntryTick& tick);

/// Queues the cancellation of a job for the journal.
void HandInCancellation(std::uint64_t command, const CancelJob& cancel,
                        EntryTables& tables, EntryTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_ENTRY_HAND_IN_JOBS_H_
