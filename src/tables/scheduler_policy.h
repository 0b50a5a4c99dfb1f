#ifndef QUETZALLINE_TABLES_SCHEDULER_POLICY_H_
#define QUETZALLINE_TABLES_SCHEDULER_POLICY_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"
#include "tables/placement_policy.h"

namespace quetzalline {

/// Settings of a scheduler.
class SchedulerPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "scheduler-policy";

  const MemberName& member() const { return member_; }
  /// Distinguishes restarts of the process; a restarted process has a higher
  /// incarnation.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Time for which the store retains the holder's key without a renewal.
  Duration holder_lease() const { return holder_lease_; }
  /// Time between two renewals of that lease.
  Duration holder_renewal() const { return holder_renewal_; }
  /// Maximum duration of one watch of the holder's key.
  Duration holder_watch() const { return holder_watch_; }
  /// Maximum duration of one watch of the configuration.
  Duration configuration_watch() const { return configuration_watch_; }
  /// Time for which tasks keep running without contact to the holder.
  Duration task_lease() const { return task_lease_; }
  /// Time without a report after which a connection counts as lost.
  Duration silence() const { return silence_; }
  /// Minimum time between two commits.
  Duration commit_pause() const { return commit_pause_; }
  /// Time that a task is given to stop.
  Duration stop_grace() const { return stop_grace_; }
  /// Weights and limits of the placement of tasks.
  const PlacementPolicy& placement() const { return placement_; }
  /// Time for which the status of a finished job remains available.
  Duration status_time() const { return status_time_; }

  friend auto operator<=>(const SchedulerPolicy&,
                          const SchedulerPolicy&) = default;

 private:
  QUETZALLINE_VALUE(SchedulerPolicy, member_, incarnation_, holder_lease_,
                    holder_renewal_, holder_watch_, configuration_watch_,
                    task_lease_, silence_, commit_pause_, stop_grace_,
                    placement_, status_time_)

  MemberName member_;
  std::uint64_t incarnation_ = 0;
  Duration holder_lease_ = std::chrono::milliseconds(1800);
  Duration holder_renewal_ = std::chrono::milliseconds(500);
  Duration holder_watch_ = std::chrono::milliseconds(4000);
  Duration configuration_watch_ = std::chrono::milliseconds(1500);
  Duration task_lease_ = std::chrono::milliseconds(5000);
  Duration silence_ = std::chrono::milliseconds(1200);
  Duration commit_pause_ = std::chrono::milliseconds(50);
  Duration stop_grace_ = std::chrono::milliseconds(400);
  PlacementPolicy placement_;
  Duration status_time_ = std::chrono::seconds(120);
};

/// Builds a SchedulerPolicy; fields that are not set keep their defaults.
class SchedulerPolicy::Builder : public ValueBuilder<SchedulerPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& holder_lease(Duration value) {
    return Set(value_.holder_lease_, value);
  }
  Builder& holder_renewal(Duration value) {
    return Set(value_.holder_renewal_, value);
  }
  Builder& holder_watch(Duration value) {
    return Set(value_.holder_watch_, value);
  }
  Builder& configuration_watch(Duration value) {
    return Set(value_.configuration_watch_, value);
  }
  Builder& task_lease(Duration value) { return Set(value_.task_lease_, value); }
  Builder& silence(Duration value) { return Set(value_.silence_, value); }
  Builder& commit_pause(Duration value) {
    return Set(value_.commit_pause_, value);
  }
  Builder& stop_grace(Duration value) { return Set(value_.stop_grace_, value); }
  Builder& placement(PlacementPolicy value) {
    return Set(value_.placement_, std::move(value));
  }
  Builder& status_time(Duration value) {
    return Set(value_.status_time_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SCHEDULER_POLICY_H_
