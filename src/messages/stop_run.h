#ifndef QUETZALLINE_MESSAGES_STOP_RUN_H_
#define QUETZALLINE_MESSAGES_STOP_RUN_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Stops a run.
class StopRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "stop-run";

  const RunKey& run() const { return run_; }

  friend auto operator<=>(const StopRun&, const StopRun&) = default;

 private:
  QUETZALLINE_VALUE(StopRun, run_)

  RunKey run_;
};

/// Builds a StopRun; fields that are not set keep their defaults.
class StopRun::Builder : public ValueBuilder<StopRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STOP_RUN_H_
