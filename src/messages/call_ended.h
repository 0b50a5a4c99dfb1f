#ifndef QUETZALLINE_MESSAGES_CALL_ENDED_H_
#define QUETZALLINE_MESSAGES_CALL_ENDED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/value.h"
#include "messages/call_result.h"

namespace quetzalline {

/// A call to the endpoint ended.
class CallEnded {
 public:
  class Builder;

  static constexpr std::string_view kName = "call-ended";

  const AttemptId& attempt() const { return attempt_; }
  const CallResult& result() const { return result_; }

  friend auto operator<=>(const CallEnded&, const CallEnded&) = default;

 private:
  QUETZALLINE_VALUE(CallEnded, attempt_, result_)

  AttemptId attempt_;
  CallResult result_;
};

/// Builds a CallEnded; fields that are not set keep their defaults.
class CallEnded::Builder : public ValueBuilder<CallEnded, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
  Builder& result(CallResult value) {
    return Set(value_.result_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_ENDED_H_
