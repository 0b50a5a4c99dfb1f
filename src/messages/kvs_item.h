#ifndef QUETZALLINE_MESSAGES_KVS_ITEM_H_
#define QUETZALLINE_MESSAGES_KVS_ITEM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "records/kvs_record.h"

namespace quetzalline {

/// A key of the store and its value.
class KvsItem {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-item";

  const std::string& key() const { return key_; }
  /// Empty if the value cannot be decoded.
  const std::optional<KvsRecord>& record() const { return record_; }
  /// Store revision of the key's last change.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvsItem&, const KvsItem&) = default;

 private:
  QUETZALLINE_VALUE(KvsItem, key_, record_, revision_)

  std::string key_;
  std::optional<KvsRecord> record_;
  std::int64_t revision_ = 0;
};

/// Builds a KvsItem; fields that are not set keep their defaults.
class KvsItem::Builder : public ValueBuilder<KvsItem, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(std::optional<KvsRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_ITEM_H_
