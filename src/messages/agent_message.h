#ifndef QUETZALLINE_MESSAGES_AGENT_MESSAGE_H_
#define QUETZALLINE_MESSAGES_AGENT_MESSAGE_H_

#include <variant>

#include "messages/announce.h"
#include "messages/answer.h"
#include "messages/task_report.h"

namespace quetzalline {

/// All messages from an agent to an entry.
using AgentMessage = std::variant<Announce, Answer, TaskReport>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_AGENT_MESSAGE_H_
