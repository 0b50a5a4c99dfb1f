#ifndef QUETZALLINE_MESSAGES_JOB_ANSWER_H_
#define QUETZALLINE_MESSAGES_JOB_ANSWER_H_

#include <variant>

#include "messages/bad_job_call.h"
#include "messages/job_refused.h"
#include "messages/job_state_told.h"
#include "messages/job_stored.h"
#include "messages/job_undecided.h"
#include "messages/job_unknown.h"
#include "messages/job_withdrawn.h"
#include "messages/pending_told.h"
#include "messages/queue_unknown.h"

namespace quetzalline {

/// All answers to a caller's request about a job.
using JobAnswer =
    std::variant<JobStored, JobRefused, JobUndecided, JobWithdrawn, JobUnknown,
                 JobStateTold, PendingTold, QueueUnknown, BadJobCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_ANSWER_H_
