#ifndef QUETZALLINE_MESSAGES_KVS_ITEMS_H_
#define QUETZALLINE_MESSAGES_KVS_ITEMS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/kvs_item.h"

namespace quetzalline {

/// Items that were read, or that changed during a watch.
class KvsItems {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-items";

  const std::vector<KvsItem>& items() const { return items_; }
  /// Keys that were deleted.
  const std::vector<std::string>& removed() const { return removed_; }
  /// Store revision that this answer reflects.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const KvsItems&, const KvsItems&) = default;

 private:
  QUETZALLINE_VALUE(KvsItems, items_, removed_, revision_)

  std::vector<KvsItem> items_;
  std::vector<std::string> removed_;
  std::int64_t revision_ = 0;
};

/// Builds a KvsItems; fields that are not set keep their defaults.
class KvsItems::Builder : public ValueBuilder<KvsItems, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& items(std::vector<KvsItem> value) {
    return Set(value_.items_, std::move(value));
  }
  Builder& removed(std::vector<std::string> value) {
    return Set(value_.removed_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_ITEMS_H_
