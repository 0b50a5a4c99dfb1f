#ifndef QUETZALLINE_MESSAGES_ACKNOWLEDGE_H_
#define QUETZALLINE_MESSAGES_ACKNOWLEDGE_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/value.h"

namespace quetzalline {

/// Allows the agent to discard the outcome of a finished attempt.
class Acknowledge {
 public:
  class Builder;

  static constexpr std::string_view kName = "acknowledge";

  const AttemptId& attempt() const { return attempt_; }

  friend auto operator<=>(const Acknowledge&, const Acknowledge&) = default;

 private:
  QUETZALLINE_VALUE(Acknowledge, attempt_)

  AttemptId attempt_;
};

/// Builds an Acknowledge; fields that are not set keep their defaults.
class Acknowledge::Builder : public ValueBuilder<Acknowledge, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_ACKNOWLEDGE_H_
