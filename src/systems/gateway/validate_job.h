#ifndef QUETZALLINE_SYSTEMS_GATEWAY_VALIDATE_JOB_H_
#define QUETZALLINE_SYSTEMS_GATEWAY_VALIDATE_JOB_H_

#include <optional>
#include <string>

#include "messages/submit_call.h"

namespace quetzalline {

/// Validates a submitted job. Returns the error as text for the caller, with
/// the field that it concerns; empty for a valid job.
std::optional<std::string> ValidateJob(const SubmitCall& call);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_GATEWAY_VALIDATE_JOB_H_
