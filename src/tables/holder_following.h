#ifndef QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_
#define QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The process does not hold the cell.
class HolderFollowing {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-following";

  /// Returns true if the last read showed a holder.
  bool holder_seen() const { return holder_seen_; }
  /// Time at which to start a leader election; empty while the cell has a
  /// holder.
  const std::optional<Instant>& claim_at() const { return claim_at_; }
  /// Store revision of a holder key that no holder wrote and that the election
  /// replaces; 0 if there is no such key.
  std::int64_t odd_holder() const { return odd_holder_; }

  friend auto operator<=>(const HolderFollowing&,
                          const HolderFollowing&) = default;

 private:
  QUETZALLINE_VALUE(HolderFollowing, holder_seen_, claim_at_, odd_holder_)

  bool holder_seen_ = false;
  std::optional<Instant> claim_at_;
  std::int64_t odd_holder_ = 0;
};

/// Builds a HolderFollowing; fields that are not set keep their defaults.
class HolderFollowing::Builder : public ValueBuilder<HolderFollowing, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& holder_seen(bool value) { return Set(value_.holder_seen_, value); }
  Builder& claim_at(std::optional<Instant> value) {
    return Set(value_.claim_at_, std::move(value));
  }
  Builder& odd_holder(std::int64_t value) {
    return Set(value_.odd_holder_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_
