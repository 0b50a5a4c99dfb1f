#ifndef QUETZALLINE_MESSAGES_WORKER_RUN_H_
#define QUETZALLINE_MESSAGES_WORKER_RUN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/run_progress.h"
#include "core/value.h"

namespace quetzalline {

/// A run as listed by the worker.
class WorkerRun {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-run";

  const RunProgress& progress() const { return progress_; }
  /// Tail latency in milliseconds for a task of a long-running service, CPU use
  /// for any other.
  std::int64_t figure() const { return figure_; }

  friend auto operator<=>(const WorkerRun&, const WorkerRun&) = default;

 private:
  QUETZALLINE_VALUE(WorkerRun, progress_, figure_)

  RunProgress progress_;
  std::int64_t figure_ = 0;
};

/// Builds a WorkerRun; fields that are not set keep their defaults.
class WorkerRun::Builder : public ValueBuilder<WorkerRun, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& progress(RunProgress value) {
    return Set(value_.progress_, std::move(value));
  }
  Builder& figure(std::int64_t value) { return Set(value_.figure_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_RUN_H_
