#ifndef QUETZALLINE_CORE_ANSWER_BYTES_H_
#define QUETZALLINE_CORE_ANSWER_BYTES_H_

#include <cstdint>

#include "core/attempt_outcome.h"

namespace quetzalline {

/// Bytes of the answer's body; zero where there is no answer.
std::int64_t AnswerBytes(const AttemptOutcome& outcome);

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_ANSWER_BYTES_H_
