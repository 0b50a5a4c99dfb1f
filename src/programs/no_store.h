#ifndef QUETZALLINE_PROGRAMS_NO_STORE_H_
#define QUETZALLINE_PROGRAMS_NO_STORE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Selects the in-memory store of the embedded system.
class NoStore {
 public:
  class Builder;

  static constexpr std::string_view kName = "no-store";

  friend auto operator<=>(const NoStore&, const NoStore&) = default;

 private:
  QUETZALLINE_VALUE(NoStore)
};

/// Builds a NoStore; fields that are not set keep their defaults.
class NoStore::Builder : public ValueBuilder<NoStore, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_NO_STORE_H_
