#ifndef QUETZALLINE_MESSAGES_JOB_CALL_KIND_H_
#define QUETZALLINE_MESSAGES_JOB_CALL_KIND_H_

#include <variant>

#include "messages/cancel_call.h"
#include "messages/read_call.h"
#include "messages/submit_call.h"

namespace quetzalline {

/// Operation that a caller requests.
using JobCallKind = std::variant<SubmitCall, ReadCall, CancelCall>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_JOB_CALL_KIND_H_
