#ifndef QUETZALLINE_STANDIN_STORED_VALUE_H_
#define QUETZALLINE_STANDIN_STORED_VALUE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// A key of the in-memory store with its value.
class StoredValue {
 public:
  class Builder;

  static constexpr std::string_view kName = "stored-value";

  const std::string& key() const { return key_; }
  const std::string& value() const { return value_; }
  /// Index of the write that stored this value.
  std::int64_t index() const { return index_; }

  friend auto operator<=>(const StoredValue&, const StoredValue&) = default;

 private:
  QUETZALLINE_VALUE(StoredValue, key_, value_, index_)

  std::string key_;
  std::string value_;
  std::int64_t index_ = 0;
};

/// Builds a StoredValue; fields that are not set keep their defaults.
class StoredValue::Builder : public ValueBuilder<StoredValue, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& value(std::string value) {
    return Set(value_.value_, std::move(value));
  }
  Builder& index(std::int64_t value) { return Set(value_.index_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_STORED_VALUE_H_
