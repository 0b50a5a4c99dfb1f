#ifndef QUETZALLINE_TABLES_THROTTLE_CALL_H_
#define QUETZALLINE_TABLES_THROTTLE_CALL_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Sets the CPU rate limit of a run.
class ThrottleCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "pace-call";

  const RunKey& run() const { return run_; }
  /// CPU rate in percent of full speed; 0 pauses the run.
  std::int32_t percent() const { return percent_; }

  friend auto operator<=>(const ThrottleCall&, const ThrottleCall&) = default;

 private:
  QUETZALLINE_VALUE(ThrottleCall, run_, percent_)

  RunKey run_;
  std::int32_t percent_ = 0;
};

/// Builds a ThrottleCall; fields that are not set keep their defaults.
class ThrottleCall::Builder : public ValueBuilder<ThrottleCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_THROTTLE_CALL_H_
