#ifndef QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_
#define QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store no longer knows the changes asked for.
class KvsHistoryGone {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-history-gone";

  friend auto operator<=>(const KvsHistoryGone&,
                          const KvsHistoryGone&) = default;

 private:
  QUETZALLINE_VALUE(KvsHistoryGone)
};

/// Builds one KvsHistoryGone; what is not set keeps its default.
class KvsHistoryGone::Builder : public ValueBuilder<KvsHistoryGone, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_
