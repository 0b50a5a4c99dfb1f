#ifndef QUETZALLINE_MESSAGES_KV_ITEM_H_
#define QUETZALLINE_MESSAGES_KV_ITEM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "records/kv_record.h"

namespace quetzalline {

/// A key of the store with what it holds.
class KvItem {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-item";

  const std::string& key() const { return key_; }
  /// Empty where the value cannot be read.
  const std::optional<KvRecord>& record() const { return record_; }
  /// The store's revision at its last change.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvItem&, const KvItem&) = default;

 private:
  QUETZALLINE_VALUE(KvItem, key_, record_, revision_)

  std::string key_;
  std::optional<KvRecord> record_;
  std::int64_t revision_ = 0;
};

/// Builds one KvItem; what is not set keeps its default.
class KvItem::Builder : public ValueBuilder<KvItem, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& record(std::optional<KvRecord> value) {
    return Set(value_.record_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_ITEM_H_
