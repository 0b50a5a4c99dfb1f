#ifndef QUETZALLINE_MESSAGES_KVS_CONFLICT_H_
#define QUETZALLINE_MESSAGES_KVS_CONFLICT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A precondition did not hold; nothing was changed.
class KvsConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "kvs-conflict";

  friend auto operator<=>(const KvsConflict&, const KvsConflict&) = default;

 private:
  QUETZALLINE_VALUE(KvsConflict)
};

/// Builds a KvsConflict; fields that are not set keep their defaults.
class KvsConflict::Builder : public ValueBuilder<KvsConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_KVS_CONFLICT_H_
