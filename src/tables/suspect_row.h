#ifndef QUETZALLINE_TABLES_SUSPECT_ROW_H_
#define QUETZALLINE_TABLES_SUSPECT_ROW_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/value.h"
#include "records/crashed_run.h"
#include "records/isolated_run.h"

namespace quetzalline {

/// A task under which workers have crashed.
class SuspectRow {
 public:
  class Builder;

  static constexpr std::string_view kName = "suspect-row";

  /// The runs that may have caused a crash. Each counts once, however often it
  /// is reported.
  const std::vector<CrashedRun>& crashed_runs() const { return crashed_runs_; }
  /// True if one of them had just started.
  bool prime() const { return prime_; }
  /// The next run in isolation, or the latest one.
  const std::optional<IsolatedRun>& isolated() const { return isolated_; }
  /// Time at which that run was started; empty before. The earliest time if an
  /// earlier holder may have started it.
  const std::optional<Instant>& started_at() const { return started_at_; }
  /// Time at which that run was planned.
  Instant planned_at() const { return planned_at_; }
  /// True if the store contains the crashed runs and the isolated one.
  bool stored() const { return stored_; }
  /// Earliest time of the next run.
  Instant not_before() const { return not_before_; }
  /// Highest age of a run at a crash.
  Duration longest_age() const { return longest_age_; }

  /// Returns true if the task may start in isolation only. One crash under a
  /// task that had run for a while is too little for that.
  bool suspect() const { return prime_ || crashed_runs_.size() > 1; }
  /// Returns true if an isolated run is planned that has not been started.
  bool planned() const { return isolated_ && !started_at_; }
  /// Returns the number of the last run under which a worker has crashed.
  std::int64_t last_crashed() const {
    std::int64_t last = 0;
    for (const CrashedRun& run : crashed_runs_) {
      last = std::max(last, run.run());
    }
    return last;
  }

  friend auto operator<=>(const SuspectRow&, const SuspectRow&) = default;

 private:
  QUETZALLINE_VALUE(SuspectRow, crashed_runs_, prime_, isolated_, started_at_,
                    planned_at_, stored_, not_before_, longest_age_)

  std::vector<CrashedRun> crashed_runs_;
  bool prime_ = false;
  std::optional<IsolatedRun> isolated_;
  std::optional<Instant> started_at_;
  Instant planned_at_ = Instant{};
  bool stored_ = false;
  Instant not_before_ = Instant{};
  Duration longest_age_ = Duration{};
};

/// Builds a SuspectRow; fields that are not set keep their defaults.
class SuspectRow::Builder : public ValueBuilder<SuspectRow, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& crashed_runs(std::vector<CrashedRun> value) {
    return Set(value_.crashed_runs_, std::move(value));
  }
  Builder& prime(bool value) { return Set(value_.prime_, value); }
  Builder& isolated(std::optional<IsolatedRun> value) {
    return Set(value_.isolated_, std::move(value));
  }
  Builder& started_at(std::optional<Instant> value) {
    return Set(value_.started_at_, std::move(value));
  }
  Builder& planned_at(Instant value) { return Set(value_.planned_at_, value); }
  Builder& stored(bool value) { return Set(value_.stored_, value); }
  Builder& not_before(Instant value) { return Set(value_.not_before_, value); }
  Builder& longest_age(Duration value) {
    return Set(value_.longest_age_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SUSPECT_ROW_H_
