#ifndef QUETZALLINE_MESSAGES_FETCH_OUTCOME_H_
#define QUETZALLINE_MESSAGES_FETCH_OUTCOME_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Requests the outcome of an attempt whose connection was lost.
class FetchOutcome {
 public:
  class Builder;

  static constexpr std::string_view kName = "fetch";

  const AttemptId& attempt() const { return attempt_; }
  /// True to also prevent the attempt from starting if it has not started yet.
  bool cancel() const { return cancel_; }

  friend auto operator<=>(const FetchOutcome&, const FetchOutcome&) = default;

 private:
  QUETZALLINE_VALUE(FetchOutcome, attempt_, cancel_)

  AttemptId attempt_;
  bool cancel_ = false;
};

/// Builds a FetchOutcome; fields that are not set keep their defaults.
class FetchOutcome::Builder : public ValueBuilder<FetchOutcome, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
  Builder& cancel(bool value) { return Set(value_.cancel_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_FETCH_OUTCOME_H_
