#ifndef QUETZALLINE_TABLES_PLACEMENT_POLICY_H_
#define QUETZALLINE_TABLES_PLACEMENT_POLICY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// What weighs where a task is placed. Costs are in shares of a worker.
class PlacementPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "placement-policy";

  /// A task that fills joins tasks that serve if their worst tail is expected
  /// to stay below this share of its target.
  double highest_tail_percent() const { return highest_tail_percent_; }
  /// A task that fills counts as quiet if it adds less than this to a tail, in
  /// percent of the target.
  double quiet_percent() const { return quiet_percent_; }
  /// What it costs a task that fills to have neighbours that serve, unless it
  /// is quiet.
  double serving_cost() const { return serving_cost_; }
  /// What it costs a task that serves to join tasks of another image.
  double other_image_cost() const { return other_image_cost_; }
  /// The same where there are at least three workers for each image that
  /// serves, so that most images can have workers of their own.
  double roomy_image_cost() const { return roomy_image_cost_; }
  /// What it is worth to run next to the data.
  double data_rack_bonus() const { return data_rack_bonus_; }
  /// Share of what tasks that serve reserve that they are expected to leave
  /// unused.
  std::int64_t unused_percent() const { return unused_percent_; }
  /// Share of its speed at which a task works that nothing is known of, until
  /// its neighbours are seen to bear it.
  std::int32_t trial_pace() const { return trial_pace_; }
  /// A task that fills and has waited this long joins tasks that serve whatever
  /// their tails, on trial, while the workers are half free.
  Duration longest_wait() const { return longest_wait_; }
  /// What an image adds to a tail of which nothing is known, in percent of the
  /// target for each core.
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

/// Builds one PlacementPolicy; what is not set keeps its default.
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
