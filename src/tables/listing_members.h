#ifndef QUETZALLINE_TABLES_LISTING_MEMBERS_H_
#define QUETZALLINE_TABLES_LISTING_MEMBERS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads all members again after changes were missed.
class ListingMembers {
 public:
  class Builder;

  static constexpr std::string_view kName = "listing-members";

  friend auto operator<=>(const ListingMembers&,
                          const ListingMembers&) = default;

 private:
  QUETZALLINE_VALUE(ListingMembers)
};

/// Builds a ListingMembers; fields that are not set keep their defaults.
class ListingMembers::Builder : public ValueBuilder<ListingMembers, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LISTING_MEMBERS_H_
