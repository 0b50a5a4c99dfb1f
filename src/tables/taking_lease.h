#ifndef QUETZALLINE_TABLES_TAKING_LEASE_H_
#define QUETZALLINE_TABLES_TAKING_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The cell's lease is being written.
class TakingLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "taking-lease";

  friend auto operator<=>(const TakingLease&, const TakingLease&) = default;

 private:
  QUETZALLINE_VALUE(TakingLease)
};

/// Builds a TakingLease; fields that are not set keep their defaults.
class TakingLease::Builder : public ValueBuilder<TakingLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TAKING_LEASE_H_
