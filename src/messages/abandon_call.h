#ifndef QUETZALLINE_MESSAGES_ABANDON_CALL_H_
#define QUETZALLINE_MESSAGES_ABANDON_CALL_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Aborts a call to the endpoint; its connection is closed and never reused.
class AbandonCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "abandon-call";

  const AttemptId& attempt() const { return attempt_; }

  friend auto operator<=>(const AbandonCall&, const AbandonCall&) = default;

 private:
  QUETZALLINE_VALUE(AbandonCall, attempt_)

  AttemptId attempt_;
};

/// Builds an AbandonCall; fields that are not set keep their defaults.
class AbandonCall::Builder : public ValueBuilder<AbandonCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ABANDON_CALL_H_
