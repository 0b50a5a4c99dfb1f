#ifndef QUETZALLINE_MESSAGES_ANSWER_CALLER_H_
#define QUETZALLINE_MESSAGES_ANSWER_CALLER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/attempt_outcome.h"
#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// Completes a caller's request.
class AnswerCaller {
 public:
  class Builder;

  static constexpr std::string_view kName = "answer-caller";

  const RequestId& id() const { return id_; }
  const AttemptOutcome& outcome() const { return outcome_; }
  /// Number of attempts that were sent to agents.
  std::int32_t attempts() const { return attempts_; }

  friend auto operator<=>(const AnswerCaller&, const AnswerCaller&) = default;

 private:
  QUETZALLINE_VALUE(AnswerCaller, id_, outcome_, attempts_)

  RequestId id_;
  AttemptOutcome outcome_;
  std::int32_t attempts_ = 0;
};

/// Builds an AnswerCaller; fields that are not set keep their defaults.
class AnswerCaller::Builder : public ValueBuilder<AnswerCaller, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(RequestId value) { return Set(value_.id_, std::move(value)); }
  Builder& outcome(AttemptOutcome value) {
    return Set(value_.outcome_, std::move(value));
  }
  Builder& attempts(std::int32_t value) { return Set(value_.attempts_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ANSWER_CALLER_H_
