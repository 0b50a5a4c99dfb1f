#ifndef QUETZALLINE_MESSAGES_KEY_REMEMBERED_H_
#define QUETZALLINE_MESSAGES_KEY_REMEMBERED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/reason.h"
#include "core/request_id.h"
#include "core/value.h"

namespace quetzalline {

/// The agent remembers the idempotency key from now on.
class KeyRemembered {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-remembered";

  const RequestId& request() const { return request_; }
  /// None; key-conflict where another request brought the key before;
  /// table-full where it is not remembered.
  Reason reason() const { return reason_; }

  friend auto operator<=>(const KeyRemembered&, const KeyRemembered&) = default;

 private:
  QUETZALLINE_VALUE(KeyRemembered, request_, reason_)

  RequestId request_;
  Reason reason_ = Reason{};
};

/// Builds one KeyRemembered; what is not set keeps its default.
class KeyRemembered::Builder : public ValueBuilder<KeyRemembered, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& request(RequestId value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& reason(Reason value) { return Set(value_.reason_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KEY_REMEMBERED_H_
