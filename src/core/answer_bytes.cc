#include "core/answer_bytes.h"

#include "core/overloaded.h"

namespace quetzalline {
std::int64_t AnswerBytes(const AttemptOutcome& outcome) {
  return std::visit(Overloaded{[](const Done& done) {
                                 return static_cast<std::int64_t>(
                                     done.response()->body().size());
                               },
                               [](const NotRun&) { return std::int64_t{0}; },
                               [](const Unknown&) { return std::int64_t{0}; }},
                    outcome);
}

}  // namespace quetzalline
