#ifndef QUETZALLINE_TABLES_HOLDER_LINK_H_
#define QUETZALLINE_TABLES_HOLDER_LINK_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A connection to a process that says it holds the cell.
class HolderLink {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-link";

  std::int64_t epoch() const { return epoch_; }
  Instant heard_at() const { return heard_at_; }

  friend auto operator<=>(const HolderLink&, const HolderLink&) = default;

 private:
  QUETZALLINE_VALUE(HolderLink, epoch_, heard_at_)

  std::int64_t epoch_ = 0;
  Instant heard_at_ = Instant{};
};

/// Builds one HolderLink; what is not set keeps its default.
class HolderLink::Builder : public ValueBuilder<HolderLink, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& heard_at(Instant value) { return Set(value_.heard_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_LINK_H_
