#ifndef QUETZALLINE_TABLES_LEASE_READ_H_
#define QUETZALLINE_TABLES_LEASE_READ_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads the cell's lease beside the watch of it, which may be lost.
class LeaseRead {
 public:
  class Builder;

  static constexpr std::string_view kName = "lease-read";

  friend auto operator<=>(const LeaseRead&, const LeaseRead&) = default;

 private:
  QUETZALLINE_VALUE(LeaseRead)
};

/// Builds a LeaseRead; fields that are not set keep their defaults.
class LeaseRead::Builder : public ValueBuilder<LeaseRead, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LEASE_READ_H_
