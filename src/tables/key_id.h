#ifndef QUETZALLINE_TABLES_KEY_ID_H_
#define QUETZALLINE_TABLES_KEY_ID_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// An idempotency key within the scope of its caller.
class KeyId {
 public:
  class Builder;

  static constexpr std::string_view kName = "key-id";

  const CallerName& caller() const { return caller_; }
  const std::string& key() const { return key_; }

  friend auto operator<=>(const KeyId&, const KeyId&) = default;

 private:
  QUETZALLINE_VALUE(KeyId, caller_, key_)

  CallerName caller_;
  std::string key_;
};

/// Builds a KeyId; fields that are not set keep their defaults.
class KeyId::Builder : public ValueBuilder<KeyId, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_KEY_ID_H_
