#ifndef QUETZALLINE_TABLES_LINK_BUDGET_H_
#define QUETZALLINE_TABLES_LINK_BUDGET_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Token bucket for request bytes that cross regions.
class LinkBudget {
 public:
  class Builder;

  static constexpr std::string_view kName = "link-budget";

  /// Bytes that may be sent now.
  std::int64_t bytes() const { return bytes_; }
  /// Time at which the bucket was last refilled.
  Instant refilled() const { return refilled_; }

  friend auto operator<=>(const LinkBudget&, const LinkBudget&) = default;

 private:
  QUETZALLINE_VALUE(LinkBudget, bytes_, refilled_)

  std::int64_t bytes_ = 0;
  Instant refilled_ = Instant{};
};

/// Builds a LinkBudget; fields that are not set keep their defaults.
class LinkBudget::Builder : public ValueBuilder<LinkBudget, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& bytes(std::int64_t value) { return Set(value_.bytes_, value); }
  Builder& refilled(Instant value) { return Set(value_.refilled_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_LINK_BUDGET_H_
