#ifndef QUETZALLINE_MESSAGES_KVS_CONFLICT_H_
#define QUETZALLINE_MESSAGES_KVS_CONFLICT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// An expectation did not hold; nothing was done.
class KvsConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-conflict";

  friend auto operator<=>(const KvsConflict&, const KvsConflict&) = default;

 private:
  QUETZALLINE_VALUE(KvsConflict)
};

/// Builds one KvsConflict; what is not set keeps its default.
class KvsConflict::Builder : public ValueBuilder<KvsConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_CONFLICT_H_
