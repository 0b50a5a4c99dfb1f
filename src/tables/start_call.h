#ifndef QUETZALLINE_TABLES_START_CALL_H_
#define QUETZALLINE_TABLES_START_CALL_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Starts a run.
class StartCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "start-call";

  const RunKey& run() const { return run_; }

  friend auto operator<=>(const StartCall&, const StartCall&) = default;

 private:
  QUETZALLINE_VALUE(StartCall, run_)

  RunKey run_;
};

/// Builds a StartCall; fields that are not set keep their defaults.
class StartCall::Builder : public ValueBuilder<StartCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_START_CALL_H_
