#ifndef QUETZALLINE_TABLES_OBSERVED_HANDOVER_H_
#define QUETZALLINE_TABLES_OBSERVED_HANDOVER_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A handover record as a process saw it that did not hold the cell. The time
/// that the record leaves has run at least since then.
class ObservedHandover {
 public:
  class Builder;

  static constexpr std::string_view kName = "observed-handover";

  /// Store revision of the record.
  std::int64_t revision() const { return revision_; }
  /// Time at which this revision was first seen.
  Instant seen_at() const { return seen_at_; }

  friend auto operator<=>(const ObservedHandover&,
                          const ObservedHandover&) = default;

 private:
  QUETZALLINE_VALUE(ObservedHandover, revision_, seen_at_)

  std::int64_t revision_ = 0;
  Instant seen_at_ = Instant{};
};

/// Builds an ObservedHandover; fields that are not set keep their defaults.
class ObservedHandover::Builder
    : public ValueBuilder<ObservedHandover, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
  Builder& seen_at(Instant value) { return Set(value_.seen_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_OBSERVED_HANDOVER_H_
