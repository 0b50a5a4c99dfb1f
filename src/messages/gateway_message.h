#ifndef QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_
#define QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_

#include <variant>

#include "messages/attach_entry.h"
#include "messages/configuration_notice.h"
#include "messages/job_refused.h"
#include "messages/job_state_told.h"
#include "messages/job_stored.h"
#include "messages/job_undecided.h"
#include "messages/job_unknown.h"
#include "messages/job_withdrawn.h"
#include "messages/pending_told.h"

namespace quetzalline {

/// All messages from a holder to an entry's gateway.
using GatewayMessage =
    std::variant<AttachEntry, JobStored, JobRefused, JobUndecided, JobWithdrawn,
                 JobUnknown, JobStateTold, PendingTold, ConfigurationNotice>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GATEWAY_MESSAGE_H_
