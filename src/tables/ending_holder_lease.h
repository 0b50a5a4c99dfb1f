#ifndef QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_
#define QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Ends the leader lease at a planned shutdown, so that another process can
/// take over the cell at once.
class EndingHolderLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "ending-holder-lease";

  friend auto operator<=>(const EndingHolderLease&,
                          const EndingHolderLease&) = default;

 private:
  QUETZALLINE_VALUE(EndingHolderLease)
};

/// Builds an EndingHolderLease; fields that are not set keep their defaults.
class EndingHolderLease::Builder
    : public ValueBuilder<EndingHolderLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_
