#ifndef QUETZALLINE_MESSAGES_SCHEDULER_INPUT_H_
#define QUETZALLINE_MESSAGES_SCHEDULER_INPUT_H_

#include <variant>

#include "messages/connection_closed.h"
#include "messages/holder_message_received.h"
#include "messages/kvs_answer.h"
#include "messages/peer_connected.h"
#include "messages/stop_requested.h"
#include "messages/wall_clock_read.h"

namespace quetzalline {

/// All inputs of a scheduler node, apart from the passing of time.
using SchedulerInput =
    std::variant<PeerConnected, ConnectionClosed, HolderMessageReceived,
                 KvsAnswer, WallClockRead, StopRequested>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SCHEDULER_INPUT_H_
