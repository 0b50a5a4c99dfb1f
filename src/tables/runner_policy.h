#ifndef QUETZALLINE_TABLES_RUNNER_POLICY_H_
#define QUETZALLINE_TABLES_RUNNER_POLICY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Settings of a runner.
class RunnerPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "runner-policy";

  const MemberName& member() const { return member_; }
  /// Distinguishes restarts of the process; a restarted process has a higher
  /// incarnation.
  std::uint64_t incarnation() const { return incarnation_; }
  /// Address at which holders connect to this process.
  const std::string& address() const { return address_; }
  /// Time for which tasks keep running without contact to the holder.
  Duration task_lease() const { return task_lease_; }
  /// Longest lease that a worker accepts; it shortens a longer one.
  Duration max_lease() const { return max_lease_; }
  /// Time after a report within which a run may start that the holder decided
  /// on when it had received that report. Shorter than the three seconds in
  /// which tasks of a cancelled job, and tasks on a draining worker, may still
  /// start.
  Duration start_validity() const { return start_validity_; }
  /// Maximum time between two reports to the holder.
  Duration report_interval() const { return report_interval_; }
  /// Replaces hold_wait() while best-effort tasks run next to services, so that
  /// tail latencies are sampled more often.
  Duration mixed_hold_wait() const { return mixed_hold_wait_; }
  /// Maximum time that the worker delays its answer to one status poll.
  Duration hold_wait() const { return hold_wait_; }
  /// Time without a message from the holder after which its connection is
  /// closed.
  Duration holder_silence() const { return holder_silence_; }
  /// Time after which a stop call without effect is repeated.
  Duration call_retry() const { return call_retry_; }
  /// Interval between status polls while the worker lists unacknowledged ends.
  /// Such a poll returns at once, so without the interval the runner would poll
  /// continuously.
  Duration noting_pause() const { return noting_pause_; }
  /// Delay before a failed status poll is retried.
  Duration hold_pause() const { return hold_pause_; }
  /// Minimum time between two changes of the CPU rate limit.
  Duration pace_interval() const { return pace_interval_; }

  friend auto operator<=>(const RunnerPolicy&, const RunnerPolicy&) = default;

 private:
  QUETZALLINE_VALUE(RunnerPolicy, member_, incarnation_, address_, task_lease_,
                    max_lease_, start_validity_, report_interval_,
                    mixed_hold_wait_, hold_wait_, holder_silence_, call_retry_,
                    noting_pause_, hold_pause_, pace_interval_)

  MemberName member_;
  std::uint64_t incarnation_ = 0;
  std::string address_;
  Duration task_lease_ = std::chrono::milliseconds(5000);
  Duration max_lease_ = std::chrono::milliseconds(6000);
  Duration start_validity_ = std::chrono::milliseconds(2000);
  Duration report_interval_ = std::chrono::milliseconds(400);
  Duration mixed_hold_wait_ = std::chrono::milliseconds(350);
  Duration hold_wait_ = std::chrono::milliseconds(700);
  Duration holder_silence_ = std::chrono::milliseconds(2500);
  Duration call_retry_ = std::chrono::milliseconds(700);
  Duration noting_pause_ = std::chrono::milliseconds(80);
  Duration hold_pause_ = std::chrono::milliseconds(150);
  Duration pace_interval_ = std::chrono::milliseconds(400);
};

/// Builds a RunnerPolicy; fields that are not set keep their defaults.
class RunnerPolicy::Builder : public ValueBuilder<RunnerPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& member(MemberName value) {
    return Set(value_.member_, std::move(value));
  }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
  Builder& task_lease(Duration value) { return Set(value_.task_lease_, value); }
  Builder& max_lease(Duration value) { return Set(value_.max_lease_, value); }
  Builder& start_validity(Duration value) {
    return Set(value_.start_validity_, value);
  }
  Builder& report_interval(Duration value) {
    return Set(value_.report_interval_, value);
  }
  Builder& mixed_hold_wait(Duration value) {
    return Set(value_.mixed_hold_wait_, value);
  }
  Builder& hold_wait(Duration value) { return Set(value_.hold_wait_, value); }
  Builder& holder_silence(Duration value) {
    return Set(value_.holder_silence_, value);
  }
  Builder& call_retry(Duration value) { return Set(value_.call_retry_, value); }
  Builder& noting_pause(Duration value) {
    return Set(value_.noting_pause_, value);
  }
  Builder& hold_pause(Duration value) { return Set(value_.hold_pause_, value); }
  Builder& pace_interval(Duration value) {
    return Set(value_.pace_interval_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUNNER_POLICY_H_
