#ifndef QUETZALLINE_MESSAGES_KVS_HISTORY_COMPACTED_H_
#define QUETZALLINE_MESSAGES_KVS_HISTORY_COMPACTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store no longer holds the changes that a watch requested.
class KvsHistoryCompacted {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-history-gone";

  friend auto operator<=>(const KvsHistoryCompacted&,
                          const KvsHistoryCompacted&) = default;

 private:
  QUETZALLINE_VALUE(KvsHistoryCompacted)
};

/// Builds a KvsHistoryCompacted; fields that are not set keep their defaults.
class KvsHistoryCompacted::Builder
    : public ValueBuilder<KvsHistoryCompacted, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_HISTORY_COMPACTED_H_
