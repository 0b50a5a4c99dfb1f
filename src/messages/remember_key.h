#ifndef QUETZALLINE_MESSAGES_REMEMBER_KEY_H_
#define QUETZALLINE_MESSAGES_REMEMBER_KEY_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// Asks the agent to remember an idempotency key that is about to run
/// elsewhere.
class RememberKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "remember-key";

  const RequestId& request() const { return request_; }
  const CallerName& caller() const { return caller_; }
  const std::string& key() const { return key_; }

  friend auto operator<=>(const RememberKey&, const RememberKey&) = default;

 private:
  QUETZALLINE_VALUE(RememberKey, request_, caller_, key_)

  RequestId request_;
  CallerName caller_;
  std::string key_;
};

/// Builds one RememberKey; what is not set keeps its default.
class RememberKey::Builder : public ValueBuilder<RememberKey, Builder> {
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

#endif  // QUETZALLINE_MESSAGES_REMEMBER_KEY_H_
