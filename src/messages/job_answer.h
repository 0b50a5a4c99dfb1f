#ifndef QUETZALLINE_MESSAGES_JOB_ANSWER_H_
#define QUETZALLINE_MESSAGES_JOB_ANSWER_H_

#include <variant>

#include "messages/cancel_job_reply.h"
#include "messages/invalid_job_call.h"
#include "messages/job_not_found.h"
#include "messages/job_outcome_unknown.h"
#include "messages/job_refused.h"
#include "messages/job_state_reply.h"
#include "messages/job_stored.h"
#include "messages/pending_count_reply.h"
#include "messages/queue_not_found.h"

namespace quetzalline {

/// All answers to a caller's request about a job.
using JobAnswer =
    std::variant<JobStored, JobRefused, JobOutcomeUnknown, CancelJobReply,
                 JobNotFound, JobStateReply, PendingCountReply, QueueNotFound,
                 InvalidJobCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_ANSWER_H_
