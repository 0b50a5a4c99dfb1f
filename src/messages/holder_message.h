#ifndef QUETZALLINE_MESSAGES_HOLDER_MESSAGE_H_
#define QUETZALLINE_MESSAGES_HOLDER_MESSAGE_H_

#include <variant>

#include "messages/cancel_job_request.h"
#include "messages/entry_alive.h"
#include "messages/holder_superseded.h"
#include "messages/read_job_state.h"
#include "messages/read_pending_count.h"
#include "messages/submit_job_request.h"
#include "messages/worker_report.h"

namespace quetzalline {

/// All messages from runners and entries to a holder.
using HolderMessage =
    std::variant<WorkerReport, HolderSuperseded, EntryAlive, SubmitJobRequest,
                 CancelJobRequest, ReadJobState, ReadPendingCount>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_HOLDER_MESSAGE_H_
