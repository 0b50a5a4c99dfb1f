#ifndef QUETZALLINE_TABLES_AWAITING_ATTEMPT_H_
#define QUETZALLINE_TABLES_AWAITING_ATTEMPT_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// No attempt is in flight.
class AwaitingAttempt {
 public:
  class Builder;

  static constexpr std::string_view kName = "to-try";

  /// Earliest time of the next attempt.
  Instant not_before() const { return not_before_; }

  friend auto operator<=>(const AwaitingAttempt&,
                          const AwaitingAttempt&) = default;

 private:
  QUETZALLINE_VALUE(AwaitingAttempt, not_before_)

  Instant not_before_ = Instant{};
};

/// Builds an AwaitingAttempt; fields that are not set keep their defaults.
class AwaitingAttempt::Builder : public ValueBuilder<AwaitingAttempt, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& not_before(Instant value) { return Set(value_.not_before_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_AWAITING_ATTEMPT_H_
