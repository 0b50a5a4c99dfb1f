#ifndef QUETZALLINE_RECORDS_REGISTERED_KEY_H_
#define QUETZALLINE_RECORDS_REGISTERED_KEY_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// An idempotency key, under which one request may run once, on one endpoint.
class RegisteredKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "registered-key";

  const CallerName& caller() const { return caller_; }
  const std::string& key() const { return key_; }
  /// Request that may run under the key.
  const RequestId& request() const { return request_; }
  /// Endpoint whose agent stores the response.
  const EndpointId& endpoint() const { return endpoint_; }

  friend auto operator<=>(const RegisteredKey&, const RegisteredKey&) = default;

 private:
  QUETZALLINE_VALUE(RegisteredKey, caller_, key_, request_, endpoint_)

  CallerName caller_;
  std::string key_;
  RequestId request_;
  EndpointId endpoint_;
};

/// Builds a RegisteredKey; fields that are not set keep their defaults.
class RegisteredKey::Builder : public ValueBuilder<RegisteredKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& request(RequestId value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_REGISTERED_KEY_H_
