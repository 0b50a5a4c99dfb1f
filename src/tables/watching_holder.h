#ifndef QUETZALLINE_TABLES_WATCHING_HOLDER_H_
#define QUETZALLINE_TABLES_WATCHING_HOLDER_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Waits for a change of the cell's holder.
class WatchingHolder {
 public:
  class Builder;

  static constexpr std::string_view kName = "watching-holder";

  friend auto operator<=>(const WatchingHolder&,
                          const WatchingHolder&) = default;

 private:
  QUETZALLINE_VALUE(WatchingHolder)
};

/// Builds a WatchingHolder; fields that are not set keep their defaults.
class WatchingHolder::Builder : public ValueBuilder<WatchingHolder, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WATCHING_HOLDER_H_
