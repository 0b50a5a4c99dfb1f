#ifndef QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_
#define QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Gives the cell up at a planned stop.
class EndingHolderLease {
 public:
  class Builder;

  static constexpr std::string_view kName = "ending-holder-lease";

  friend auto operator<=>(const EndingHolderLease&,
                          const EndingHolderLease&) = default;

 private:
  QUETZALLINE_VALUE(EndingHolderLease)
};

/// Builds one EndingHolderLease; what is not set keeps its default.
class EndingHolderLease::Builder
    : public ValueBuilder<EndingHolderLease, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENDING_HOLDER_LEASE_H_
