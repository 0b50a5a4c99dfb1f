#ifndef QUETZALLINE_TABLES_ABANDONED_H_
#define QUETZALLINE_TABLES_ABANDONED_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The agent gave up on the exchange. The endpoint may still be processing the
/// request, so its slot stays taken.
class Abandoned {
 public:
  class Builder;

  static constexpr std::string_view kName = "abandoned";

  /// Time at which the slot is freed.
  Instant until() const { return until_; }
  /// Returns true if the entry has acknowledged the outcome.
  bool acknowledged() const { return acknowledged_; }

  friend auto operator<=>(const Abandoned&, const Abandoned&) = default;

 private:
  QUETZALLINE_VALUE(Abandoned, until_, acknowledged_)

  Instant until_ = Instant{};
  bool acknowledged_ = false;
};

/// Builds an Abandoned; fields that are not set keep their defaults.
class Abandoned::Builder : public ValueBuilder<Abandoned, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& until(Instant value) { return Set(value_.until_, value); }
  Builder& acknowledged(bool value) { return Set(value_.acknowledged_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ABANDONED_H_
