#ifndef QUETZALLINE_MESSAGES_STORE_CONFLICT_H_
#define QUETZALLINE_MESSAGES_STORE_CONFLICT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The key has another index than expected; nothing was written.
class StoreConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-conflict";

  friend auto operator<=>(const StoreConflict&, const StoreConflict&) = default;

 private:
  QUETZALLINE_VALUE(StoreConflict)
};

/// Builds one StoreConflict; what is not set keeps its default.
class StoreConflict::Builder : public ValueBuilder<StoreConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_CONFLICT_H_
