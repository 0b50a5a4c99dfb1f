#ifndef QUETZALLINE_MESSAGES_RUNNER_EFFECT_H_
#define QUETZALLINE_MESSAGES_RUNNER_EFFECT_H_

#include <variant>

#include "messages/close_connection.h"
#include "messages/kvs_commit.h"
#include "messages/kvs_get.h"
#include "messages/log_decision.h"
#include "messages/send_to_holder.h"
#include "messages/worker_poll.h"
#include "messages/worker_start.h"
#include "messages/worker_stop.h"
#include "messages/worker_throttle.h"

namespace quetzalline {

/// All effects that a runner node requests from its platform.
using RunnerEffect =
    std::variant<SendToHolder, CloseConnection, WorkerStart, WorkerStop,
                 WorkerThrottle, WorkerPoll, KvsGet, KvsCommit, LogDecision>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RUNNER_EFFECT_H_
