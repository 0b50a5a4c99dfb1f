#ifndef QUETZALLINE_MESSAGES_LOST_RUN_H_
#define QUETZALLINE_MESSAGES_LOST_RUN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// A run that was on a worker when it crashed.
class LostRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "lost-run";

  /// The run.
  const RunKey& run() const { return run_; }
  /// Time from its start to the last answer of the worker, in milliseconds;
  /// negative if there was none after the start.
  std::int64_t age_ms() const { return age_ms_; }

  friend auto operator<=>(const LostRun&, const LostRun&) = default;

 private:
  QUETZALLINE_VALUE(LostRun, run_, age_ms_)

  RunKey run_;
  std::int64_t age_ms_ = 0;
};

/// Builds a LostRun; fields that are not set keep their defaults.
class LostRun::Builder : public ValueBuilder<LostRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& age_ms(std::int64_t value) { return Set(value_.age_ms_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_LOST_RUN_H_
