#ifndef QUETZALLINE_MESSAGES_RUNNER_INPUT_H_
#define QUETZALLINE_MESSAGES_RUNNER_INPUT_H_

#include <variant>

#include "messages/connection_closed.h"
#include "messages/connection_opened.h"
#include "messages/holder_epoch_seen.h"
#include "messages/kvs_answer.h"
#include "messages/runner_message_received.h"
#include "messages/stop_requested.h"
#include "messages/worker_announced.h"
#include "messages/worker_answer.h"
#include "messages/worker_left.h"

namespace quetzalline {

/// All inputs of a runner node, apart from the passing of time.
using RunnerInput =
    std::variant<ConnectionOpened, ConnectionClosed, RunnerMessageReceived,
                 WorkerAnnounced, WorkerLeft, WorkerAnswer, KvsAnswer,
                 HolderEpochSeen, StopRequested>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RUNNER_INPUT_H_
