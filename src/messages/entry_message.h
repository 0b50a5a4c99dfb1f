#ifndef QUETZALLINE_MESSAGES_ENTRY_MESSAGE_H_
#define QUETZALLINE_MESSAGES_ENTRY_MESSAGE_H_

#include <variant>

#include "messages/acknowledge.h"
#include "messages/acknowledge_task.h"
#include "messages/configuration_update.h"
#include "messages/drain_endpoint.h"
#include "messages/fetch_outcome.h"
#include "messages/heartbeat_reply.h"
#include "messages/start_task.h"
#include "messages/stop_task.h"
#include "messages/submit.h"

namespace quetzalline {

/// All messages from an entry to an agent.
using EntryMessage =
    std::variant<Submit, FetchOutcome, Acknowledge, HeartbeatReply,
                 ConfigurationUpdate, StartTask, StopTask, AcknowledgeTask,
                 DrainEndpoint>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENTRY_MESSAGE_H_
