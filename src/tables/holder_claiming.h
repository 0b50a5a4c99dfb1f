#ifndef QUETZALLINE_TABLES_HOLDER_CLAIMING_H_
#define QUETZALLINE_TABLES_HOLDER_CLAIMING_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The process is trying to become the holder.
class HolderClaiming {
 public:
  class Builder;

  static constexpr std::string_view kName = "holder-claiming";

  /// Store lease that the holder's key will be bound to.
  std::uint64_t lease() const { return lease_; }
  /// Store revision of the holder key that the claim replaces; 0 if there is
  /// none.
  std::int64_t odd_holder() const { return odd_holder_; }

  friend auto operator<=>(const HolderClaiming&,
                          const HolderClaiming&) = default;

 private:
  QUETZALLINE_VALUE(HolderClaiming, lease_, odd_holder_)

  std::uint64_t lease_ = 0;
  std::int64_t odd_holder_ = 0;
};

/// Builds a HolderClaiming; fields that are not set keep their defaults.
class HolderClaiming::Builder : public ValueBuilder<HolderClaiming, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& lease(std::uint64_t value) { return Set(value_.lease_, value); }
  Builder& odd_holder(std::int64_t value) {
    return Set(value_.odd_holder_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLDER_CLAIMING_H_
