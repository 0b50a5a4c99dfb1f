#ifndef QUETZALLINE_MESSAGES_CALL_RESULT_H_
#define QUETZALLINE_MESSAGES_CALL_RESULT_H_

#include <variant>

#include "messages/call_broken.h"
#include "messages/call_completed.h"
#include "messages/call_not_sent.h"

namespace quetzalline {

/// Result of a call to the endpoint.
using CallResult = std::variant<CallCompleted, CallNotSent, CallBroken>;

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_RESULT_H_
