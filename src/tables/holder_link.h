#ifndef QUETZALLINE_TABLES_HOLDER_LINK_H_
#define QUETZALLINE_TABLES_HOLDER_LINK_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A connection to a process that claims to hold the cell.
class HolderLink {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-link";

  /// Epoch of that claim.
  std::int64_t epoch() const { return epoch_; }
  /// Time of the last message from the process.
  Instant heard_at() const { return heard_at_; }

  friend auto operator<=>(const HolderLink&, const HolderLink&) = default;

 private:
  QUETZALLINE_VALUE(HolderLink, epoch_, heard_at_)

  std::int64_t epoch_ = 0;
  Instant heard_at_ = Instant{};
};

/// Builds a HolderLink; fields that are not set keep their defaults.
class HolderLink::Builder : public ValueBuilder<HolderLink, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& heard_at(Instant value) { return Set(value_.heard_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_LINK_H_
