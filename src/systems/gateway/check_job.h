#ifndef QUETZALLINE_SYSTEMS_GATEWAY_CHECK_JOB_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_CHECK_JOB_H_

#include <optional>
#include <string>

#include "messages/submit_call.h"

namespace quetzalline {

/// What is wrong with a job that is handed in; empty for a good one.
std::optional<std::string> FindJobFault(const SubmitCall& call);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_CHECK_JOB_H_
