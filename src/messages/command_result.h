#ifndef QUETZALLINE_MESSAGES_COMMAND_RESULT_H_
#define QUETZALLINE_MESSAGES_COMMAND_RESULT_H_

#include <variant>

#include "messages/command_refused.h"
#include "messages/command_unknown.h"
#include "messages/drain_accepted.h"
#include "messages/job_accepted.h"
#include "messages/job_cancelled.h"
#include "messages/publish_conflict.h"
#include "messages/published.h"
#include "messages/status_report.h"

namespace quetzalline {

/// Result of an operator's command.
using CommandResult =
    std::variant<Published, PublishConflict, JobAccepted, JobCancelled,
                 DrainAccepted, CommandRefused, CommandUnknown, StatusReport>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_COMMAND_RESULT_H_
