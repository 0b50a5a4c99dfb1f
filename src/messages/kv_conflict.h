#ifndef QUETZALLINE_MESSAGES_KV_CONFLICT_H_
#define QUETZALLINE_MESSAGES_KV_CONFLICT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An expectation did not hold; nothing was done.
class KvConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "kv-conflict";

  friend auto operator<=>(const KvConflict&, const KvConflict&) = default;

 private:
  QUETZALLINE_VALUE(KvConflict)
};

/// Builds one KvConflict; what is not set keeps its default.
class KvConflict::Builder : public ValueBuilder<KvConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KV_CONFLICT_H_
