#ifndef QUETZALLINE_TABLES_ANSWERED_H_
#define QUETZALLINE_TABLES_ANSWERED_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_outcome.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// The outcome is known and not yet acknowledged by the entry.
class Answered {
 public:
  class Builder;

  static constexpr std::string_view kName = "answered";

  /// Start of the time for which the answer is retained.
  Instant at() const { return at_; }
  const AttemptOutcome& outcome() const { return outcome_; }

  friend auto operator<=>(const Answered&, const Answered&) = default;

 private:
  QUETZALLINE_VALUE(Answered, at_, outcome_)

  Instant at_ = Instant{};
  AttemptOutcome outcome_;
};

/// Builds an Answered; fields that are not set keep their defaults.
class Answered::Builder : public ValueBuilder<Answered, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& at(Instant value) { return Set(value_.at_, value); }
  Builder& outcome(AttemptOutcome value) {
    return Set(value_.outcome_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ANSWERED_H_
