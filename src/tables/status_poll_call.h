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
  /// Returns true for an additional call that shows whether the worker has
  /// survived the start of a suspect.
  bool checks_survival() const { return checks_survival_; }

  friend auto operator<=>(const StatusPollCall&,
                          const StatusPollCall&) = default;

 private:
  QUETZALLINE_VALUE(StatusPollCall, raises_fence_, checks_survival_)

  bool raises_fence_ = false;
  bool checks_survival_ = false;
};

/// Builds a StatusPollCall; fields that are not set keep their defaults.
class StatusPollCall::Builder : public ValueBuilder<StatusPollCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& raises_fence(bool value) { return Set(value_.raises_fence_, value); }
  Builder& checks_survival(bool value) {
    return Set(value_.checks_survival_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STATUS_POLL_CALL_H_
