#ifndef QUETZALLINE_TABLES_LISTING_MEMBERS_H_
#define QUETZALLINE_TABLES_LISTING_MEMBERS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads the members anew, after their changes were missed.
class ListingMembers {
 public:
  class Builder;

  static constexpr std::string_view kName = "listing-members";

  friend auto operator<=>(const ListingMembers&,
                          const ListingMembers&) = default;

 private:
  QUETZALLINE_VALUE(ListingMembers)
};

/// Builds one ListingMembers; what is not set keeps its default.
class ListingMembers::Builder : public ValueBuilder<ListingMembers, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LISTING_MEMBERS_H_
