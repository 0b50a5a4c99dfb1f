#ifndef QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_
#define QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Keeps the holder's key.
class RenewingHolderLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "renewing-holder-lease";

  friend auto operator<=>(const RenewingHolderLease&,
                          const RenewingHolderLease&) = default;

 private:
  QUETZALLINE_VALUE(RenewingHolderLease)
};

/// Builds one RenewingHolderLease; what is not set keeps its default.
class RenewingHolderLease::Builder
    : public ValueBuilder<RenewingHolderLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RENEWING_HOLDER_LEASE_H_
