#ifndef QUETZALLINE_MESSAGES_ANSWER_H_
#define QUETZALLINE_MESSAGES_ANSWER_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/attempt_outcome.h"
#include "core/load_report.h"
#include "core/value.h"

namespace quetzalline {

/// Outcome of an attempt at the agent; sent again until it is acknowledged.
class Answer {
 public:
  class Builder;

  static constexpr std::string_view kName = "answer";

  const AttemptId& attempt() const { return attempt_; }
  const AttemptOutcome& outcome() const { return outcome_; }
  const LoadReport& load() const { return load_; }

  friend auto operator<=>(const Answer&, const Answer&) = default;

 private:
  QUETZALLINE_VALUE(Answer, attempt_, outcome_, load_)

  AttemptId attempt_;
  AttemptOutcome outcome_;
  LoadReport load_;
};

/// Builds an Answer; fields that are not set keep their defaults.
class Answer::Builder : public ValueBuilder<Answer, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
  Builder& outcome(AttemptOutcome value) {
    return Set(value_.outcome_, std::move(value));
  }
  Builder& load(LoadReport value) {
    return Set(value_.load_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ANSWER_H_
