#ifndef QUETZALLINE_TABLES_REQUEST_STATE_H_
#define QUETZALLINE_TABLES_REQUEST_STATE_H_

#include <variant>

#include "tables/attempt_in_flight.h"
#include "tables/awaiting_attempt.h"
#include "tables/registering_key.h"

namespace quetzalline {

/// State of a request at the entry.
using RequestState =
    std::variant<AwaitingAttempt, RegisteringKey, AttemptInFlight>;

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REQUEST_STATE_H_
