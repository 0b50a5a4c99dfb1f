#ifndef QUETZALLINE_MESSAGES_STORE_CONFLICT_H_
#define QUETZALLINE_MESSAGES_STORE_CONFLICT_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The key does not have the expected index; nothing was written.
class StoreConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "store-conflict";

  friend auto operator<=>(const StoreConflict&, const StoreConflict&) = default;

 private:
  QUETZALLINE_VALUE(StoreConflict)
};

/// Builds a StoreConflict; fields that are not set keep their defaults.
class StoreConflict::Builder : public ValueBuilder<StoreConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STORE_CONFLICT_H_
