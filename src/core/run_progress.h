#ifndef QUETZALLINE_CORE_RUN_PROGRESS_H_
#define QUETZALLINE_CORE_RUN_PROGRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/run_key.h"
#include "core/value.h"

namespace quetzalline {

/// Progress of a run of a task.
class RunProgress {
 public:
  class Builder;

  static constexpr std::string_view kName = "run-progress";

  const RunKey& run() const { return run_; }
  /// Latest checkpoint; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }
  /// Completed share of the run, in percent.
  std::int32_t percent() const { return percent_; }

  friend auto operator<=>(const RunProgress&, const RunProgress&) = default;

 private:
  QUETZALLINE_VALUE(RunProgress, run_, checkpoint_, percent_)

  RunKey run_;
  std::string checkpoint_;
  std::int32_t percent_ = 0;
};

/// Builds a RunProgress; fields that are not set keep their defaults.
class RunProgress::Builder : public ValueBuilder<RunProgress, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(RunKey value) { return Set(value_.run_, std::move(value)); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RUN_PROGRESS_H_
