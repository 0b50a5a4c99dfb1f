#ifndef QUETZALLINE_RECORDS_CRASHED_RUN_H_
#define QUETZALLINE_RECORDS_CRASHED_RUN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A run that was lost when its worker crashed.
class CrashedRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "crashed-run";

  /// Number of the run.
  std::int64_t run() const { return run_; }
  /// Runner of the worker that crashed.
  const MemberName& worker() const { return worker_; }
  /// Returns true if the crash speaks against the task: the worker has answered
  /// since the start of the run was sent, so that it was certainly alive then,
  /// and was not lost together with others of its zone or rack.
  bool conclusive() const { return conclusive_; }

  friend auto operator<=>(const CrashedRun&, const CrashedRun&) = default;

 private:
  QUETZALLINE_VALUE(CrashedRun, run_, worker_, conclusive_)

  std::int64_t run_ = 0;
  MemberName worker_;
  bool conclusive_ = false;
};

/// Builds a CrashedRun; fields that are not set keep their defaults.
class CrashedRun::Builder : public ValueBuilder<CrashedRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(std::int64_t value) { return Set(value_.run_, value); }
  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& conclusive(bool value) { return Set(value_.conclusive_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_CRASHED_RUN_H_
