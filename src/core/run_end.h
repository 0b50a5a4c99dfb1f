#ifndef QUETZALLINE_CORE_RUN_END_H_
#define QUETZALLINE_CORE_RUN_END_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/run_outcome.h"
#include "core/value.h"

namespace quetzalline {

/// The completion of a run, which the worker lists until it is acknowledged.
class RunEnd {
 public:
  class Builder;

  static constexpr std::string_view kName = "run-end";

  /// Number of the completion, from 1 in each incarnation of the worker.
  std::int64_t number() const { return number_; }
  const RunKey& run() const { return run_; }
  RunOutcome outcome() const { return outcome_; }
  /// Checkpoint from which a later run may resume; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }

  friend auto operator<=>(const RunEnd&, const RunEnd&) = default;

 private:
  QUETZALLINE_VALUE(RunEnd, number_, run_, outcome_, checkpoint_)

  std::int64_t number_ = 0;
  RunKey run_;
  RunOutcome outcome_ = RunOutcome{};
  std::string checkpoint_;
};

/// Builds a RunEnd; fields that are not set keep their defaults.
class RunEnd::Builder : public ValueBuilder<RunEnd, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& number(std::int64_t value) { return Set(value_.number_, value); }
  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& outcome(RunOutcome value) { return Set(value_.outcome_, value); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RUN_END_H_
