#ifndef QUETZALLINE_MESSAGES_KV_ITEMS_H_
#define QUETZALLINE_MESSAGES_KV_ITEMS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/kv_item.h"

namespace quetzalline {

/// What was read, or what has changed.
class KvItems {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-items";

  const std::vector<KvItem>& items() const { return items_; }
  /// Keys that went.
  const std::vector<std::string>& removed() const { return removed_; }
  /// The store's revision as of this answer.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvItems&, const KvItems&) = default;

 private:
  QUETZALLINE_VALUE(KvItems, items_, removed_, revision_)

  std::vector<KvItem> items_;
  std::vector<std::string> removed_;
  std::int64_t revision_ = 0;
};

/// Builds one KvItems; what is not set keeps its default.
class KvItems::Builder : public ValueBuilder<KvItems, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& items(std::vector<KvItem> value) {
    return Set(value_.items_, std::move(value));
  }
  Builder& removed(std::vector<std::string> value) {
    return Set(value_.removed_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_ITEMS_H_
