#ifndef QUETZALLINE_CORE_ANSWER_BYTES_H_
#define QUETZALLINE_CORE_ANSWER_BYTES_H_

#include <cstdint>

#include "core/attempt_outcome.h"

namespace quetzalline {

/// Returns the size of the response body in bytes; 0 if there is no response.
std::int64_t AnswerBytes(const AttemptOutcome& outcome);

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ANSWER_BYTES_H_
