#ifndef QUETZALLINE_MESSAGES_AGENT_INPUT_H_
#define QUETZALLINE_MESSAGES_AGENT_INPUT_H_

#include <variant>

#include "messages/call_ended.h"
#include "messages/connection_closed.h"
#include "messages/connection_opened.h"
#include "messages/entry_message_received.h"
#include "messages/stop_requested.h"
#include "messages/worker_task_event.h"
#include "messages/worker_task_found.h"
#include "messages/worker_tasks_listed.h"

namespace quetzalline {

/// All inputs of an agent, apart from the passing of time.
using AgentInput =
    std::variant<ConnectionOpened, ConnectionClosed, EntryMessageReceived,
                 CallEnded, WorkerTaskFound, WorkerTasksListed, WorkerTaskEvent,
                 StopRequested>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_AGENT_INPUT_H_
