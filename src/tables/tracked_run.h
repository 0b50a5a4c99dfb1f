#ifndef QUETZALLINE_TABLES_TRACKED_RUN_H_
#define QUETZALLINE_TABLES_TRACKED_RUN_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"
#include "messages/start_run.h"
#include "tables/tracked_run_stage.h"

namespace quetzalline {

/// A run that the runner was commanded to start, or that its worker lists.
class TrackedRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "held-run";

  std::int64_t run() const { return run_; }
  TrackedRunStage stage() const { return stage_; }
  /// The command that started the run.
  const StartRun& order() const { return order_; }
  /// Returns true if the holder has sent the start command; false for a run
  /// that is only known from the worker's list.
  bool known() const { return known_; }
  /// Fencing token of the latest call about the run.
  std::int64_t fence() const { return fence_; }
  /// Time at which the worker last listed or confirmed the run.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Time of the latest call about the run.
  Instant called_at() const { return called_at_; }
  const std::string& checkpoint() const { return checkpoint_; }
  /// Progress, 0 to 100.
  std::int32_t percent() const { return percent_; }
  /// Progress that was last reported to the holder; -1 before the first report.
  std::int32_t told_percent() const { return told_percent_; }
  /// Checkpoint that was last reported to the holder.
  const std::string& told_checkpoint() const { return told_checkpoint_; }
  /// Measured tail latency in milliseconds if the task has a tail target.
  std::int64_t figure() const { return figure_; }
  /// CPU rate that the worker applies, in percent of full speed; -1 after a
  /// failed change.
  std::int32_t pace() const { return pace_; }
  /// Upper limit of the CPU rate, in percent, until the run is seen not to
  /// interfere with its neighbours.
  std::int32_t pace_limit() const { return pace_limit_; }
  /// Time at which the run started or its CPU rate last changed.
  Instant steady_since() const { return steady_since_; }
  /// Time at which the worker was last called to start the run; unset for a run
  /// that is only known from the worker's list.
  Instant started_at() const { return started_at_; }
  /// Time after which the worker must not start the run any more: the holder
  /// may have decided otherwise without this process knowing.
  Instant start_by() const { return start_by_; }

  friend auto operator<=>(const TrackedRun&, const TrackedRun&) = default;

 private:
  QUETZALLINE_VALUE(TrackedRun, run_, stage_, order_, known_, fence_,
                    confirmed_at_, called_at_, checkpoint_, percent_,
                    told_percent_, told_checkpoint_, figure_, pace_,
                    pace_limit_, steady_since_, started_at_, start_by_)

  std::int64_t run_ = 0;
  TrackedRunStage stage_ = TrackedRunStage{};
  StartRun order_;
  bool known_ = false;
  std::int64_t fence_ = 0;
  Instant confirmed_at_ = Instant{};
  Instant called_at_ = Instant{};
  std::string checkpoint_;
  std::int32_t percent_ = 0;
  std::int32_t told_percent_ = -1;
  std::string told_checkpoint_;
  std::int64_t figure_ = 0;
  std::int32_t pace_ = 100;
  std::int32_t pace_limit_ = 100;
  Instant steady_since_ = Instant{};
  Instant started_at_ = Instant{};
  Instant start_by_ = Instant{};
};

/// Builds a TrackedRun; fields that are not set keep their defaults.
class TrackedRun::Builder : public ValueBuilder<TrackedRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run(std::int64_t value) { return Set(value_.run_, value); }
  Builder& stage(TrackedRunStage value) { return Set(value_.stage_, value); }
  Builder& order(StartRun value) {
    return Set(value_.order_, std::move(value));
  }
  Builder& known(bool value) { return Set(value_.known_, value); }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
  Builder& confirmed_at(Instant value) {
    return Set(value_.confirmed_at_, value);
  }
  Builder& called_at(Instant value) { return Set(value_.called_at_, value); }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
  Builder& percent(std::int32_t value) { return Set(value_.percent_, value); }
  Builder& told_percent(std::int32_t value) {
    return Set(value_.told_percent_, value);
  }
  Builder& told_checkpoint(std::string value) {
    return Set(value_.told_checkpoint_, std::move(value));
  }
  Builder& figure(std::int64_t value) { return Set(value_.figure_, value); }
  Builder& pace(std::int32_t value) { return Set(value_.pace_, value); }
  Builder& pace_limit(std::int32_t value) {
    return Set(value_.pace_limit_, value);
  }
  Builder& steady_since(Instant value) {
    return Set(value_.steady_since_, value);
  }
  Builder& started_at(Instant value) { return Set(value_.started_at_, value); }
  Builder& start_by(Instant value) { return Set(value_.start_by_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_TRACKED_RUN_H_
