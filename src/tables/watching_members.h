#ifndef QUETZALLINE_TABLES_WATCHING_MEMBERS_H_
#define QUETZALLINE_TABLES_WATCHING_MEMBERS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Waits for new members.
class WatchingMembers {
 public:
  class Builder;

  static constexpr std::string_view kName = "watching-members";

  friend auto operator<=>(const WatchingMembers&,
                          const WatchingMembers&) = default;

 private:
  QUETZALLINE_VALUE(WatchingMembers)
};

/// Builds a WatchingMembers; fields that are not set keep their defaults.
class WatchingMembers::Builder : public ValueBuilder<WatchingMembers, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WATCHING_MEMBERS_H_
