#ifndef QUETZALLINE_MESSAGES_GATEWAY_INPUT_H_
#define QUETZALLINE_MESSAGES_GATEWAY_INPUT_H_

#include <variant>

#include "messages/connection_closed.h"
#include "messages/connection_opened.h"
#include "messages/gateway_message_received.h"
#include "messages/job_call.h"
#include "messages/kvs_answer.h"
#include "messages/stop_requested.h"

namespace quetzalline {

/// All inputs of a gateway node, apart from the passing of time.
using GatewayInput =
    std::variant<ConnectionOpened, ConnectionClosed, GatewayMessageReceived,
                 JobCall, KvsAnswer, StopRequested>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GATEWAY_INPUT_H_
