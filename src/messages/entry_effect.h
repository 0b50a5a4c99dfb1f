#ifndef QUETZALLINE_MESSAGES_ENTRY_EFFECT_H_
#define QUETZALLINE_MESSAGES_ENTRY_EFFECT_H_

#include <variant>

#include "messages/answer_caller.h"
#include "messages/answer_operator.h"
#include "messages/close_connection.h"
#include "messages/log_change.h"
#include "messages/process_finished.h"
#include "messages/send_to_agent.h"
#include "messages/store_read.h"
#include "messages/store_watch.h"
#include "messages/store_write.h"

namespace quetzalline {

/// All effects that an entry requests from its adapters.
using EntryEffect =
    std::variant<SendToAgent, CloseConnection, AnswerCaller, AnswerOperator,
                 StoreRead, StoreWatch, StoreWrite, LogChange, ProcessFinished>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ENTRY_EFFECT_H_
