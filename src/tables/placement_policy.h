#ifndef QUETZALLINE_TABLES_PLACEMENT_POLICY_H_
#define QUETZALLINE_TABLES_PLACEMENT_POLICY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Weights and limits of the placement of tasks. Costs are in shares of a
/// worker's CPU; the worker with the lowest cost is chosen.
class PlacementPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "placement-policy";

  /// A best-effort task is placed next to services only if their worst tail
  /// latency is expected to stay at or below this percentage of its target.
  double highest_tail_percent() const { return highest_tail_percent_; }
  /// A best-effort task that is expected to add less than this to a tail
  /// latency, in percent of the target, prefers workers with services. It
  /// leaves the other workers to tasks that interfere more.
  double quiet_percent() const { return quiet_percent_; }
  /// Cost for a best-effort task of having services as neighbours. Counts as a
  /// bonus for best-effort tasks that add less than quiet_percent() and for all
  /// other tasks without a tail target.
  double serving_cost() const { return serving_cost_; }
  /// Cost for a service of joining services of another image.
  double other_image_cost() const { return other_image_cost_; }
  /// Replaces other_image_cost() if there are at least three workers for each
  /// service image, so that most images can have workers of their own.
  double roomy_image_cost() const { return roomy_image_cost_; }
  /// Bonus for running on the rack of the task's data.
  double data_rack_bonus() const { return data_rack_bonus_; }
  /// Percentage of the CPU reserved by services that they are expected not to
  /// use, and that best-effort tasks may take.
  std::int64_t unused_percent() const { return unused_percent_; }
  /// CPU rate, in percent, of a best-effort task whose interference is unknown,
  /// until its neighbours are seen to tolerate it.
  std::int32_t trial_pace() const { return trial_pace_; }
  /// Time after which a waiting best-effort task is placed next to services on
  /// trial, whatever their tail latency, while less than half of the CPU of the
  /// available workers is reserved by other tasks than best-effort ones.
  Duration longest_wait() const { return longest_wait_; }
  /// Interference assumed for a pair of images without measurements, in percent
  /// of the tail target for each core.
  double unknown_press() const { return unknown_press_; }

  friend auto operator<=>(const PlacementPolicy&,
                          const PlacementPolicy&) = default;

 private:
  QUETZALLINE_VALUE(PlacementPolicy, highest_tail_percent_, quiet_percent_,
                    serving_cost_, other_image_cost_, roomy_image_cost_,
                    data_rack_bonus_, unused_percent_, trial_pace_,
                    longest_wait_, unknown_press_)

  double highest_tail_percent_ = 85.0;
  double quiet_percent_ = 6.0;
  double serving_cost_ = 4.0;
  double other_image_cost_ = 0.3;
  double roomy_image_cost_ = 1.5;
  double data_rack_bonus_ = 0.4;
  std::int64_t unused_percent_ = 50;
  std::int32_t trial_pace_ = 30;
  Duration longest_wait_ = std::chrono::milliseconds(1200);
  double unknown_press_ = 1.0;
};

/// Builds a PlacementPolicy; fields that are not set keep their defaults.
class PlacementPolicy::Builder : public ValueBuilder<PlacementPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& highest_tail_percent(double value) {
    return Set(value_.highest_tail_percent_, value);
  }
  Builder& quiet_percent(double value) {
    return Set(value_.quiet_percent_, value);
  }
  Builder& serving_cost(double value) {
    return Set(value_.serving_cost_, value);
  }
  Builder& other_image_cost(double value) {
    return Set(value_.other_image_cost_, value);
  }
  Builder& roomy_image_cost(double value) {
    return Set(value_.roomy_image_cost_, value);
  }
  Builder& data_rack_bonus(double value) {
    return Set(value_.data_rack_bonus_, value);
  }
  Builder& unused_percent(std::int64_t value) {
    return Set(value_.unused_percent_, value);
  }
  Builder& trial_pace(std::int32_t value) {
    return Set(value_.trial_pace_, value);
  }
  Builder& longest_wait(Duration value) {
    return Set(value_.longest_wait_, value);
  }
  Builder& unknown_press(double value) {
    return Set(value_.unknown_press_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PLACEMENT_POLICY_H_
