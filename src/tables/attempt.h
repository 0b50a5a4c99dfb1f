#ifndef QUETZALLINE_TABLES_ATTEMPT_H_
#define QUETZALLINE_TABLES_ATTEMPT_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// An attempt that was sent to an agent and whose outcome is not known.
class Attempt {
 public:
  class Builder;

  static constexpr std::string_view kName = "attempt";

  const AttemptId& id() const { return id_; }
  const EndpointId& endpoint() const { return endpoint_; }
  /// Incarnation of the agent that the attempt was sent to.
  std::uint64_t incarnation() const { return incarnation_; }
  Instant sent() const { return sent_; }
  /// Time by which the agent stops the attempt.
  Instant lease_end() const { return lease_end_; }
  /// Returns true if the agent was asked to cancel the attempt.
  bool cancelling() const { return cancelling_; }

  friend auto operator<=>(const Attempt&, const Attempt&) = default;

 private:
  QUETZALLINE_VALUE(Attempt, id_, endpoint_, incarnation_, sent_, lease_end_,
                    cancelling_)

  AttemptId id_;
  EndpointId endpoint_;
  std::uint64_t incarnation_ = 0;
  Instant sent_ = Instant{};
  Instant lease_end_ = Instant{};
  bool cancelling_ = false;
};

/// Builds an Attempt; fields that are not set keep their defaults.
class Attempt::Builder : public ValueBuilder<Attempt, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(AttemptId value) { return Set(value_.id_, std::move(value)); }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& sent(Instant value) { return Set(value_.sent_, value); }
  Builder& lease_end(Instant value) { return Set(value_.lease_end_, value); }
  Builder& cancelling(bool value) { return Set(value_.cancelling_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ATTEMPT_H_
