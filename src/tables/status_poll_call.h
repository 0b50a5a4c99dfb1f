#ifndef QUETZALLINE_TABLES_STATUS_POLL_CALL_H_
#define QUETZALLINE_TABLES_STATUS_POLL_CALL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Polls the worker: renews its lease and reads its lists of runs and ends.
class StatusPollCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "hold-call";

  /// Returns true for the first call under a new fencing token.
  bool raises_fence() const { return raises_fence_; }

  friend auto operator<=>(const StatusPollCall&,
                          const StatusPollCall&) = default;

 private:
  QUETZALLINE_VALUE(StatusPollCall, raises_fence_)

  bool raises_fence_ = false;
};

/// Builds a StatusPollCall; fields that are not set keep their defaults.
class StatusPollCall::Builder : public ValueBuilder<StatusPollCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& raises_fence(bool value) { return Set(value_.raises_fence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STATUS_POLL_CALL_H_
