#ifndef QUETZALLINE_TABLES_STOP_CALL_H_
#define QUETZALLINE_TABLES_STOP_CALL_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Stops a run.
class StopCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "stop-call";

  const RunKey& run() const { return run_; }

  friend auto operator<=>(const StopCall&, const StopCall&) = default;

 private:
  QUETZALLINE_VALUE(StopCall, run_)

  RunKey run_;
};

/// Builds a StopCall; fields that are not set keep their defaults.
class StopCall::Builder : public ValueBuilder<StopCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_STOP_CALL_H_
