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
#include "messages/neighbour_sample.h"
#include "messages/run_refused.h"

namespace quetzalline {

/// What a runner tells its holder, at intervals and on each change.
class WorkerReport {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-report";

  std::int64_t session() const { return session_; }
  /// Counts from 1 in each session.
  std::int64_t number() const { return number_; }
  /// Whether running and ends are all there are, unless there are more ends.
  bool whole() const { return whole_; }
  /// Whether the worker has more ends than it lists before some are noted; what
  /// is not listed may have ended.
  bool more_ends() const { return more_ends_; }
  /// Set where they changed; in a whole report absent where no worker is known.
  const std::optional<WorkerDescription>& facts() const { return facts_; }
  /// Whether the worker has said that it ends.
  bool worker_left() const { return worker_left_; }
  const std::vector<RunProgress>& running() const { return running_; }
  const std::vector<RunEnd>& ends() const { return ends_; }
  const std::vector<RunRefused>& refused() const { return refused_; }
  /// Set where the worker was looked at since the last report.
  const std::optional<NeighbourSample>& neighbours() const {
    return neighbours_;
  }
  /// Whether the worker has answered no call for a while.
  bool silent() const { return silent_; }
  /// Share of their speed that tasks that fill work at.
  std::int32_t fill_pace() const { return fill_pace_; }

  friend auto operator<=>(const WorkerReport&, const WorkerReport&) = default;

 private:
  QUETZALLINE_VALUE(WorkerReport, session_, number_, whole_, more_ends_, facts_,
                    worker_left_, running_, ends_, refused_, neighbours_,
                    silent_, fill_pace_)

  std::int64_t session_ = 0;
  std::int64_t number_ = 0;
  bool whole_ = false;
  bool more_ends_ = false;
  std::optional<WorkerDescription> facts_;
  bool worker_left_ = false;
  std::vector<RunProgress> running_;
  std::vector<RunEnd> ends_;
  std::vector<RunRefused> refused_;
  std::optional<NeighbourSample> neighbours_;
  bool silent_ = false;
  std::int32_t fill_pace_ = 100;
};

/// Builds one WorkerReport; what is not set keeps its default.
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
  Builder& neighbours(std::optional<NeighbourSample> value) {
    return Set(value_.neighbours_, std::move(value));
  }
  Builder& silent(bool value) { return Set(value_.silent_, value); }
  Builder& fill_pace(std::int32_t value) {
    return Set(value_.fill_pace_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_REPORT_H_
