#ifndef QUETZALLINE_TABLES_LEASE_WATCH_H_
#define QUETZALLINE_TABLES_LEASE_WATCH_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call waits for a change of the cell's lease.
class LeaseWatch {
 public:
  class Builder;

  static constexpr std::string_view kName = "lease-watch";

  friend auto operator<=>(const LeaseWatch&, const LeaseWatch&) = default;

 private:
  QUETZALLINE_VALUE(LeaseWatch)
};

/// Builds a LeaseWatch; fields that are not set keep their defaults.
class LeaseWatch::Builder : public ValueBuilder<LeaseWatch, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LEASE_WATCH_H_
