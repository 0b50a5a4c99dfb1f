#ifndef QUETZALLINE_SYSTEMS_SCHEDULER_ADMIT_JOBS_H_
#define QUETZALLINE_SYSTEMS_SCHEDULER_ADMIT_JOBS_H_

#include "messages/cancel_job_request.h"
#include "messages/kvs_result.h"
#include "messages/read_job_state.h"
#include "messages/read_pending_count.h"
#include "messages/submit_job_request.h"
#include "systems/scheduler/scheduler_tick.h"
#include "tables/scheduler_tables.h"

namespace quetzalline {

/// Takes a job up, to be kept with the next commit; the entry is told once it
/// is kept. A job that is known already is the same job.
void HandIn(ConnectionId connection, const SubmitJobRequest& message,
            SchedulerTables& tables, SchedulerTick& tick);

/// Cancels a job: its tasks stop at once, and the entry is told once that is
/// kept.
void Withdraw(ConnectionId connection, const CancelJobRequest& message,
              SchedulerTables& tables, SchedulerTick& tick);

/// Tells the state of a job. One that the holder does not know is looked up in
/// the store first, since the holder may have been replaced.
void TellState(ConnectionId connection, const ReadJobState& message,
               SchedulerTables& tables, SchedulerTick& tick);

void TellPending(ConnectionId connection, const ReadPendingCount& message,
                 SchedulerTables& tables, SchedulerTick& tick);

/// Ends a look for a job that the holder does not know.
void TakeProbe(const CallerWaiting& caller, const KvsResult& result,
               SchedulerTables& tables, SchedulerTick& tick);

/// A store that has not kept anything for this long takes no new jobs: a caller
/// is better told at once than left waiting.
inline constexpr Duration kStorePatience = std::chrono::milliseconds(400);

/// Tells a caller that its job was not accepted since the store is away.
void RefuseForStore(ConnectionId connection, std::uint64_t ticket,
                    std::uint64_t job, SchedulerTick& tick);

/// Sends an answer to an entry.
void AnswerEntry(ConnectionId connection, const GatewayMessage& message,
                 SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ADMIT_JOBS_H_
