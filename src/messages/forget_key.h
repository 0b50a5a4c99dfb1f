#ifndef QUETZALLINE_MESSAGES_FORGET_KEY_H_
#define QUETZALLINE_MESSAGES_FORGET_KEY_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// The request of an idempotency key did not run; the key is free again.
class ForgetKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "forget-key";

  const RequestId& request() const { return request_; }
  const CallerName& caller() const { return caller_; }
  const std::string& key() const { return key_; }

  friend auto operator<=>(const ForgetKey&, const ForgetKey&) = default;

 private:
  QUETZALLINE_VALUE(ForgetKey, request_, caller_, key_)

  RequestId request_;
  CallerName caller_;
  std::string key_;
};

/// Builds one ForgetKey; what is not set keeps its default.
class ForgetKey::Builder : public ValueBuilder<ForgetKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& request(RequestId value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_FORGET_KEY_H_
