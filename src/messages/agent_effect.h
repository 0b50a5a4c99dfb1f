#ifndef QUETZALLINE_MESSAGES_AGENT_EFFECT_H_
#define QUETZALLINE_MESSAGES_AGENT_EFFECT_H_

#include <variant>

#include "messages/abandon_call.h"
#include "messages/call_endpoint.h"
#include "messages/close_connection.h"
#include "messages/log_change.h"
#include "messages/process_finished.h"
#include "messages/renew_work.h"
#include "messages/send_to_entry.h"
#include "messages/start_work.h"
#include "messages/stop_work.h"

namespace quetzalline {

/// All effects that an agent requests from its adapters.
using AgentEffect =
    std::variant<SendToEntry, CloseConnection, CallEndpoint, AbandonCall,
                 StartWork, RenewWork, StopWork, LogChange, ProcessFinished>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_AGENT_EFFECT_H_
