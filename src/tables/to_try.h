#ifndef QUETZALLINE_TABLES_TO_TRY_H_
#define QUETZALLINE_TABLES_TO_TRY_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// No attempt is in flight.
class ToTry {
 public:
  class Builder;

  static constexpr std::string_view kName = "to-try";

  /// Earliest time of the next attempt.
  Instant not_before() const { return not_before_; }

  friend auto operator<=>(const ToTry&, const ToTry&) = default;

 private:
  QUETZALLINE_VALUE(ToTry, not_before_)

  Instant not_before_ = Instant{};
};

/// Builds a ToTry; fields that are not set keep their defaults.
class ToTry::Builder : public ValueBuilder<ToTry, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& not_before(Instant value) { return Set(value_.not_before_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TO_TRY_H_
