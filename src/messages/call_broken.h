#ifndef QUETZALLINE_MESSAGES_CALL_BROKEN_H_
#define QUETZALLINE_MESSAGES_CALL_BROKEN_H_

#include <compare>
#include <string_view>

#include "core/reason.h"
#include "core/value.h"

namespace quetzalline {

/// The exchange ended before the response was complete.
class CallBroken {
 public:
  class Builder;

  static constexpr std::string_view kName = "call-broken";

  Reason reason() const { return reason_; }

  friend auto operator<=>(const CallBroken&, const CallBroken&) = default;

 private:
  QUETZALLINE_VALUE(CallBroken, reason_)

  Reason reason_ = Reason{};
};

/// Builds a CallBroken; fields that are not set keep their defaults.
class CallBroken::Builder : public ValueBuilder<CallBroken, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_BROKEN_H_
