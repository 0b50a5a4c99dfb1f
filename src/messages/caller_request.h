#ifndef QUETZALLINE_MESSAGES_CALLER_REQUEST_H_
#define QUETZALLINE_MESSAGES_CALLER_REQUEST_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/http_request.h"
#include "core/ids.h"
#include "core/request_id.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A caller's request was received completely.
class CallerRequest {
 public:
  class Builder;

  static constexpr std::string_view kName = "caller-request";

  const RequestId& id() const { return id_; }
  const CallerName& caller() const { return caller_; }
  const std::string& host() const { return host_; }
  const Shared<HttpRequest>& request() const { return request_; }
  /// Time that the caller allows for the request; if empty, the default of the
  /// service applies.
  const std::optional<Duration>& deadline() const { return deadline_; }
  /// Idempotency key; empty if the caller sent none.
  const std::string& key() const { return key_; }

  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;

 private:
  QUETZALLINE_VALUE(CallerRequest, id_, caller_, host_, request_, deadline_,
                    key_)

  RequestId id_;
  CallerName caller_;
  std::string host_;
  Shared<HttpRequest> request_;
  std::optional<Duration> deadline_;
  std::string key_;
};

/// Builds a CallerRequest; fields that are not set keep their defaults.
class CallerRequest::Builder : public ValueBuilder<CallerRequest, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(RequestId value) { return Set(value_.id_, std::move(value)); }
  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& host(std::string value) {
    return Set(value_.host_, std::move(value));
  }
  Builder& request(Shared<HttpRequest> value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& deadline(std::optional<Duration> value) {
    return Set(value_.deadline_, std::move(value));
  }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CALLER_REQUEST_H_
