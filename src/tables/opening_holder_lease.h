#ifndef QUETZALLINE_TABLES_OPENING_HOLDER_LEASE_H_
#define QUETZALLINE_TABLES_OPENING_HOLDER_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Creates the store lease that the holder's key is bound to.
class OpeningHolderLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "opening-holder-lease";

  friend auto operator<=>(const OpeningHolderLease&,
                          const OpeningHolderLease&) = default;

 private:
  QUETZALLINE_VALUE(OpeningHolderLease)
};

/// Builds an OpeningHolderLease; fields that are not set keep their defaults.
class OpeningHolderLease::Builder
    : public ValueBuilder<OpeningHolderLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_OPENING_HOLDER_LEASE_H_
