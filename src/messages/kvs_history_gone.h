#ifndef QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_
#define QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store no longer holds the changes that a watch requested.
class KvsHistoryGone {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-history-gone";

  friend auto operator<=>(const KvsHistoryGone&,
                          const KvsHistoryGone&) = default;

 private:
  QUETZALLINE_VALUE(KvsHistoryGone)
};

/// Builds a KvsHistoryGone; fields that are not set keep their defaults.
class KvsHistoryGone::Builder : public ValueBuilder<KvsHistoryGone, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_HISTORY_GONE_H_
