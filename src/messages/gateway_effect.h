#ifndef QUETZALLINE_MESSAGES_GATEWAY_EFFECT_H_
#define QUETZALLINE_MESSAGES_GATEWAY_EFFECT_H_

#include <variant>

#include "messages/answer_job_call.h"
#include "messages/close_connection.h"
#include "messages/kvs_commit.h"
#include "messages/kvs_get.h"
#include "messages/kvs_watch.h"
#include "messages/log_decision.h"
#include "messages/process_finished.h"
#include "messages/send_to_holder.h"

namespace quetzalline {

/// All effects that a gateway node requests from its platform.
using GatewayEffect =
    std::variant<AnswerJobCall, SendToHolder, CloseConnection, KvsGet, KvsWatch,
                 KvsCommit, LogDecision, ProcessFinished>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_GATEWAY_EFFECT_H_
