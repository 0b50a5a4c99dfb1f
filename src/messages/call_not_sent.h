#ifndef QUETZALLINE_MESSAGES_CALL_NOT_SENT_H_
#define QUETZALLINE_MESSAGES_CALL_NOT_SENT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// No byte of the request reached the endpoint.
class CallNotSent {
 public:
  class Builder;

  static constexpr std::string_view kName = "call-not-sent";

  friend auto operator<=>(const CallNotSent&, const CallNotSent&) = default;

 private:
  QUETZALLINE_VALUE(CallNotSent)
};

/// Builds a CallNotSent; fields that are not set keep their defaults.
class CallNotSent::Builder : public ValueBuilder<CallNotSent, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_NOT_SENT_H_
