#ifndef QUETZALLINE_MESSAGES_STORE_ITEM_H_
#define QUETZALLINE_MESSAGES_STORE_ITEM_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/shared.h"
#include "core/value.h"
#include "records/store_record.h"

namespace quetzalline {

/// A key of the store and its value.
class StoreItem {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-item";

  const std::string& key() const { return key_; }
  const Shared<StoreRecord>& record() const { return record_; }
  /// Store index of the key's last write; indexes rise across all keys.
  std::int64_t index() const { return index_; }

  friend auto operator<=>(const StoreItem&, const StoreItem&) = default;

 private:
  QUETZALLINE_VALUE(StoreItem, key_, record_, index_)

  std::string key_;
  Shared<StoreRecord> record_;
  std::int64_t index_ = 0;
};

/// Builds a StoreItem; fields that are not set keep their defaults.
class StoreItem::Builder : public ValueBuilder<StoreItem, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(Shared<StoreRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& index(std::int64_t value) { return Set(value_.index_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_ITEM_H_
