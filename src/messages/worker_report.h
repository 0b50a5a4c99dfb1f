#ifndef QUETZALLINE_MESSAGES_WORKER_REPORT_H_
#define QUETZALLINE_MESSAGES_WORKER_REPORT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/run_end.h"
#include "core/run_progress.h"
#include "core/value.h"
#include "core/worker_description.h"
#include "messages/interference_sample.h"
#include "messages/run_refused.h"
#include "messages/worker_crash.h"

namespace quetzalline {

/// Reports the state of a worker from its runner to the holder, periodically
/// and on each change.
class WorkerReport {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-report";

  /// Session that the holder opened with AttachRunner.
  std::int64_t session() const { return session_; }
  /// Counts from 1 in each session.
  std::int64_t number() const { return number_; }
  /// True for a full report: running() and ends() are complete unless
  /// more_ends() is set.
  bool whole() const { return whole_; }
  /// True if the worker lists its remaining completions only after some have
  /// been acknowledged. A run that is not listed may then have ended.
  bool more_ends() const { return more_ends_; }
  /// Set if they have changed. In a full report, empty if no worker is known.
  const std::optional<WorkerDescription>& facts() const { return facts_; }
  /// True if the last known worker has shut down; set in full reports only, and
  /// in all of them until one describes a worker again. The rest of the report
  /// then refers to that one.
  bool worker_left() const { return worker_left_; }
  /// In a full report all runs on the worker, otherwise those whose progress
  /// has changed.
  const std::vector<RunProgress>& running() const { return running_; }
  /// In a full report all unacknowledged completions, otherwise the new ones.
  const std::vector<RunEnd>& ends() const { return ends_; }
  const std::vector<RunRefused>& refused() const { return refused_; }
  /// Sample of the status polls since the last report; empty if there is none.
  const std::optional<InterferenceSample>& neighbours() const {
    return neighbours_;
  }
  /// True if the worker is unresponsive: it has answered no call for some time.
  bool silent() const { return silent_; }
  /// CPU rate limit of best-effort tasks, in percent of full speed.
  std::int32_t fill_pace() const { return fill_pace_; }
  /// Crashes of earlier incarnations of the worker that the holder has not
  /// acknowledged; in every report until then.
  const std::vector<WorkerCrash>& crashes() const { return crashes_; }
  /// Time since the worker last answered, in milliseconds; -1 if it has not.
  std::int64_t heard_ms() const { return heard_ms_; }
  /// Time for which runs on the worker may go on under a lease that was meant
  /// for another incarnation, in milliseconds; 0 if there can be none.
  std::int64_t foreign_lease_ms() const { return foreign_lease_ms_; }

  friend auto operator<=>(const WorkerReport&, const WorkerReport&) = default;

 private:
  QUETZALLINE_VALUE(WorkerReport, session_, number_, whole_, more_ends_, facts_,
                    worker_left_, running_, ends_, refused_, neighbours_,
                    silent_, fill_pace_, crashes_, heard_ms_, foreign_lease_ms_)

  std::int64_t session_ = 0;
  std::int64_t number_ = 0;
  bool whole_ = false;
  bool more_ends_ = false;
  std::optional<WorkerDescription> facts_;
  bool worker_left_ = false;
  std::vector<RunProgress> running_;
  std::vector<RunEnd> ends_;
  std::vector<RunRefused> refused_;
  std::optional<InterferenceSample> neighbours_;
  bool silent_ = false;
  std::int32_t fill_pace_ = 100;
  std::vector<WorkerCrash> crashes_;
  std::int64_t heard_ms_ = -1;
  std::int64_t foreign_lease_ms_ = 0;
};

/// Builds a WorkerReport; fields that are not set keep their defaults.
class WorkerReport::Builder : public ValueBuilder<WorkerReport, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& session(std::int64_t value) { return Set(value_.session_, value); }
  Builder& number(std::int64_t value) { return Set(value_.number_, value); }
  Builder& whole(bool value) { return Set(value_.whole_, value); }
  Builder& more_ends(bool value) { return Set(value_.more_ends_, value); }
  Builder& facts(std::optional<WorkerDescription> value) {
    return Set(value_.facts_, std::move(value));
  }
  Builder& worker_left(bool value) { return Set(value_.worker_left_, value); }
  Builder& running(std::vector<RunProgress> value) {
    return Set(value_.running_, std::move(value));
  }
  Builder& ends(std::vector<RunEnd> value) {
    return Set(value_.ends_, std::move(value));
  }
  Builder& refused(std::vector<RunRefused> value) {
    return Set(value_.refused_, std::move(value));
  }
  Builder& neighbours(std::optional<InterferenceSample> value) {
    return Set(value_.neighbours_, std::move(value));
  }
  Builder& silent(bool value) { return Set(value_.silent_, value); }
  Builder& fill_pace(std::int32_t value) {
    return Set(value_.fill_pace_, value);
  }
  Builder& crashes(std::vector<WorkerCrash> value) {
    return Set(value_.crashes_, std::move(value));
  }
  Builder& heard_ms(std::int64_t value) { return Set(value_.heard_ms_, value); }
  Builder& foreign_lease_ms(std::int64_t value) {
    return Set(value_.foreign_lease_ms_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_REPORT_H_
