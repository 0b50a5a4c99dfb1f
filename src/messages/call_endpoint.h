#ifndef QUETZALLINE_MESSAGES_CALL_ENDPOINT_H_
#define QUETZALLINE_MESSAGES_CALL_ENDPOINT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/http_request.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Sends a request to the endpoint.
class CallEndpoint {
 public:
  class Builder;

  static constexpr std::string_view kName = "call-endpoint";

  const AttemptId& attempt() const { return attempt_; }
  const Shared<HttpRequest>& request() const { return request_; }
  /// Time after which the exchange must be aborted.
  Duration lease() const { return lease_; }

  friend auto operator<=>(const CallEndpoint&, const CallEndpoint&) = default;

 private:
  QUETZALLINE_VALUE(CallEndpoint, attempt_, request_, lease_)

  AttemptId attempt_;
  Shared<HttpRequest> request_;
  Duration lease_ = Duration{};
};

/// Builds a CallEndpoint; fields that are not set keep their defaults.
class CallEndpoint::Builder : public ValueBuilder<CallEndpoint, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
  Builder& request(Shared<HttpRequest> value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& lease(Duration value) { return Set(value_.lease_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALL_ENDPOINT_H_
