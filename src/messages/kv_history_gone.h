#ifndef QUETZALLINE_MESSAGES_KV_HISTORY_GONE_H_
#define QUETZALLINE_MESSAGES_KV_HISTORY_GONE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store no longer knows the changes asked for.
class KvHistoryGone {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-history-gone";

  friend auto operator<=>(const KvHistoryGone&, const KvHistoryGone&) = default;

 private:
  QUETZALLINE_VALUE(KvHistoryGone)
};

/// Builds one KvHistoryGone; what is not set keeps its default.
class KvHistoryGone::Builder : public ValueBuilder<KvHistoryGone, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_HISTORY_GONE_H_
