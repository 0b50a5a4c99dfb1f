#ifndef QUETZALLINE_RECORDS_ISOLATED_RUN_H_
#define QUETZALLINE_RECORDS_ISOLATED_RUN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// A run of a suspect in isolation, stored before it starts: its number and
/// the place that it starts at, so that a later holder can tell that the
/// place is gone.
class IsolatedRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "isolated-run";

  /// Number of the run.
  std::int64_t run() const { return run_; }
  /// Runner of the worker.
  const MemberName& worker() const { return worker_; }
  /// Incarnation of that runner's process.
  std::uint64_t agent() const { return agent_; }
  /// Start time of the worker in Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }

  friend auto operator<=>(const IsolatedRun&, const IsolatedRun&) = default;

 private:
  QUETZALLINE_VALUE(IsolatedRun, run_, worker_, agent_, born_ms_)

  std::int64_t run_ = 0;
  MemberName worker_;
  std::uint64_t agent_ = 0;
  std::int64_t born_ms_ = 0;
};

/// Builds a IsolatedRun; fields that are not set keep their defaults.
class IsolatedRun::Builder : public ValueBuilder<IsolatedRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(std::int64_t value) { return Set(value_.run_, value); }
  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& agent(std::uint64_t value) { return Set(value_.agent_, value); }
  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_ISOLATED_RUN_H_
