#ifndef QUETZALLINE_MESSAGES_COMMAND_H_
#define QUETZALLINE_MESSAGES_COMMAND_H_

#include <variant>

#include "messages/cancel_job.h"
#include "messages/drain_command.h"
#include "messages/publish_service.h"
#include "messages/read_status.h"
#include "messages/submit_job.h"

namespace quetzalline {

/// All commands that an operator can send to an entry.
using Command = std::variant<PublishService, SubmitJob, CancelJob, DrainCommand,
                             ReadStatus>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_COMMAND_H_
