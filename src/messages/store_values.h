#ifndef QUETZALLINE_MESSAGES_STORE_VALUES_H_
#define QUETZALLINE_MESSAGES_STORE_VALUES_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/store_item.h"

namespace quetzalline {

/// The keys under a prefix and their values.
class StoreValues {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-values";

  /// Store index at which the keys were read.
  std::int64_t index() const { return index_; }
  const std::vector<StoreItem>& items() const { return items_; }

  friend auto operator<=>(const StoreValues&, const StoreValues&) = default;

 private:
  QUETZALLINE_VALUE(StoreValues, index_, items_)

  std::int64_t index_ = 0;
  std::vector<StoreItem> items_;
};

/// Builds a StoreValues; fields that are not set keep their defaults.
class StoreValues::Builder : public ValueBuilder<StoreValues, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& index(std::int64_t value) { return Set(value_.index_, value); }
  Builder& items(std::vector<StoreItem> value) {
    return Set(value_.items_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_VALUES_H_
