#ifndef QUETZALLINE_TABLES_HOLD_CALL_H_
#define QUETZALLINE_TABLES_HOLD_CALL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Polls the worker: renews its lease and reads its lists of runs and ends.
class HoldCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "hold-call";

  /// Returns true for the first call under a new fencing token.
  bool raises_fence() const { return raises_fence_; }

  friend auto operator<=>(const HoldCall&, const HoldCall&) = default;

 private:
  QUETZALLINE_VALUE(HoldCall, raises_fence_)

  bool raises_fence_ = false;
};

/// Builds a HoldCall; fields that are not set keep their defaults.
class HoldCall::Builder : public ValueBuilder<HoldCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& raises_fence(bool value) { return Set(value_.raises_fence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_HOLD_CALL_H_
