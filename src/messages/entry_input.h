#ifndef QUETZALLINE_MESSAGES_ENTRY_INPUT_H_
#define QUETZALLINE_MESSAGES_ENTRY_INPUT_H_

#include <variant>

#include "messages/agent_message_received.h"
#include "messages/caller_disconnected.h"
#include "messages/caller_request.h"
#include "messages/connection_closed.h"
#include "messages/connection_opened.h"
#include "messages/operator_command.h"
#include "messages/stop_requested.h"
#include "messages/store_answer.h"

namespace quetzalline {

/// All inputs of an entry, apart from the passing of time.
using EntryInput =
    std::variant<CallerRequest, CallerDisconnected, OperatorCommand,
                 ConnectionOpened, ConnectionClosed, AgentMessageReceived,
                 StoreAnswer, StopRequested>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENTRY_INPUT_H_
