#ifndef QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_
#define QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_

#include <compare>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Another process holds the cell, or none.
class HolderFollowing {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-following";

  /// Whether the last reading showed a holder.
  bool holder_seen() const { return holder_seen_; }
  /// When to try to take the cell; empty while it is held.
  const std::optional<Instant>& claim_at() const { return claim_at_; }

  friend auto operator<=>(const HolderFollowing&,
                          const HolderFollowing&) = default;

 private:
  QUETZALLINE_VALUE(HolderFollowing, holder_seen_, claim_at_)

  bool holder_seen_ = false;
  std::optional<Instant> claim_at_;
};

/// Builds one HolderFollowing; what is not set keeps its default.
class HolderFollowing::Builder : public ValueBuilder<HolderFollowing, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& holder_seen(bool value) { return Set(value_.holder_seen_, value); }
  Builder& claim_at(std::optional<Instant> value) {
    return Set(value_.claim_at_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_FOLLOWING_H_
