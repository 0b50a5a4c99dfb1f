#ifndef QUETZALLINE_TABLES_REMEMBERED_KEY_H_
#define QUETZALLINE_TABLES_REMEMBERED_KEY_H_

#include <compare>
#include <optional>
#include <string_view>
#include <utility>

#include "core/attempt_outcome.h"
#include "core/request_id.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// An idempotency key that this agent has seen.
class RememberedKey {
 public:
  class Builder;

  static constexpr std::string_view kName = "remembered-key";

  /// The first request with this key.
  const RequestId& request() const { return request_; }
  /// Empty if the request runs elsewhere or is still in progress.
  const std::optional<AttemptOutcome>& outcome() const { return outcome_; }
  /// Time at which the key was last seen.
  Instant seen() const { return seen_; }

  friend auto operator<=>(const RememberedKey&, const RememberedKey&) = default;

 private:
  QUETZALLINE_VALUE(RememberedKey, request_, outcome_, seen_)

  RequestId request_;
  std::optional<AttemptOutcome> outcome_;
  Instant seen_ = Instant{};
};

/// Builds a RememberedKey; fields that are not set keep their defaults.
class RememberedKey::Builder : public ValueBuilder<RememberedKey, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& request(RequestId value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& outcome(std::optional<AttemptOutcome> value) {
    return Set(value_.outcome_, std::move(value));
  }
  Builder& seen(Instant value) { return Set(value_.seen_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REMEMBERED_KEY_H_
