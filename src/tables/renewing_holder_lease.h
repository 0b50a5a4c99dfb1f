#ifndef QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_
#define QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Renews the store lease that the holder's key is bound to.
class RenewingHolderLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "renewing-holder-lease";

  friend auto operator<=>(const RenewingHolderLease&,
                          const RenewingHolderLease&) = default;

 private:
  QUETZALLINE_VALUE(RenewingHolderLease)
};

/// Builds a RenewingHolderLease; fields that are not set keep their defaults.
class RenewingHolderLease::Builder
    : public ValueBuilder<RenewingHolderLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_
