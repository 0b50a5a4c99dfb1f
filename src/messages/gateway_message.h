#ifndef QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_
#define QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_

#include <variant>

#include "messages/attach_entry.h"
#include "messages/cancel_job_reply.h"
#include "messages/configuration_notice.h"
#include "messages/job_not_found.h"
#include "messages/job_outcome_unknown.h"
#include "messages/job_refused.h"
#include "messages/job_state_reply.h"
#include "messages/job_stored.h"
#include "messages/pending_count_reply.h"

namespace quetzalline {

/// All messages from a holder to an entry's gateway.
using GatewayMessage =
    std::variant<AttachEntry, JobStored, JobRefused, JobOutcomeUnknown,
                 CancelJobReply, JobNotFound, JobStateReply, PendingCountReply,
                 ConfigurationNotice>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_
