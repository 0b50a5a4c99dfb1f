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

/// Accepts a submitted job. The next commit stores it, and the entry receives
/// JobStored after that commit. Submitting a job that is known already has no
/// further effect; the entry receives JobStored once the job is stored. Answers
/// JobRefused while the store is failing, and for a job that was cancelled
/// before.
void AcceptJob(ConnectionId connection, const SubmitJobRequest& message,
               SchedulerTables& tables, SchedulerTick& tick);

/// Cancels a job. Its tasks are stopped at once; the entry receives
/// CancelJobReply after the cancellation is stored. That of an unknown job is
/// stored, too, before the entry receives JobNotFound: a submission that was on
/// its way, or that waits in an entry, is refused when it arrives.
void CancelAcceptedJob(ConnectionId connection, const CancelJobRequest& message,
                       SchedulerTables& tables, SchedulerTick& tick);

/// Replies with the state of a job. The answer for an unknown job follows after
/// the store has confirmed the epoch of this process, since another process may
/// be the holder of the cell's leader lease by now.
void ReplyJobState(ConnectionId connection, const ReadJobState& message,
                   SchedulerTables& tables, SchedulerTick& tick);

/// Replies with the number of stored jobs of a queue that have not started yet.
void ReplyPendingCount(ConnectionId connection, const ReadPendingCount& message,
                       SchedulerTables& tables, SchedulerTick& tick);

/// Handles the epoch read that was sent for an unknown job: answers JobNotFound
/// if the store still shows this holder's epoch, and JobOutcomeUnknown if the
/// read failed or the job has become known meanwhile. Steps down if the store
/// shows another epoch.
void HandleJobProbe(const CallerWaiting& caller, const KvsResult& result,
                    SchedulerTables& tables, SchedulerTick& tick);

/// New jobs are refused after a commit has been pending for this long, so that
/// callers get an error at once instead of waiting for the store.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(400);

/// Replies JobRefused with reason kStoreFailed and a randomized retry delay.
void RefuseStoreUnavailable(ConnectionId connection, std::uint64_t ticket,
                            std::uint64_t job, SchedulerTick& tick);

/// Replies to a cancellation that is stored.
void ReplyCancelled(ConnectionId connection, std::uint64_t ticket,
                    std::uint64_t job, const SchedulerTables& tables,
                    SchedulerTick& tick);

/// Sends a reply to an entry.
void ReplyToEntry(ConnectionId connection, const GatewayMessage& message,
                  SchedulerTick& tick);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_SCHEDULER_ADMIT_JOBS_H_
