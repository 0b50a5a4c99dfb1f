#ifndef QUETZALLINE_MESSAGES_RUNNER_MESSAGE_H_
#define QUETZALLINE_MESSAGES_RUNNER_MESSAGE_H_

#include <variant>

#include "messages/acknowledge_crash.h"
#include "messages/acknowledge_run_ends.h"
#include "messages/attach_runner.h"
#include "messages/grant_lease.h"
#include "messages/start_run.h"
#include "messages/stop_run.h"

namespace quetzalline {

/// All messages from a holder to a runner.
using RunnerMessage = std::variant<AttachRunner, GrantLease, StartRun, StopRun,
                                   AcknowledgeRunEnds, AcknowledgeCrash>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_RUNNER_MESSAGE_H_
