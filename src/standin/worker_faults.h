#ifndef QUETZALLINE_STANDIN_WORKER_FAULTS_H_
#define QUETZALLINE_STANDIN_WORKER_FAULTS_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/resources.h"
#include "core/value.h"

namespace quetzalline {

/// Faults to inject into an in-memory worker.
class WorkerFaults {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-faults";

  /// Every task fails when it is started.
  bool fail_every_task() const { return fail_every_task_; }
  /// Name of a declared task whose start crashes the worker with everything
  /// that runs there; empty if there is none. The worker is back at once.
  const std::string& crash_on_start() const { return crash_on_start_; }
  /// Capacity that the worker has at present, which may be less than its agent
  /// assumes; empty if it has no limit. Tasks that run already go on.
  const std::optional<Resources>& room() const { return room_; }

  friend auto operator<=>(const WorkerFaults&, const WorkerFaults&) = default;

 private:
  QUETZALLINE_VALUE(WorkerFaults, fail_every_task_, crash_on_start_, room_)

  bool fail_every_task_ = false;
  std::string crash_on_start_;
  std::optional<Resources> room_;
};

/// Builds a WorkerFaults; fields that are not set keep their defaults.
class WorkerFaults::Builder : public ValueBuilder<WorkerFaults, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& fail_every_task(bool value) {
    return Set(value_.fail_every_task_, value);
  }
  Builder& crash_on_start(std::string value) {
    return Set(value_.crash_on_start_, std::move(value));
  }
  Builder& room(std::optional<Resources> value) {
    return Set(value_.room_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_WORKER_FAULTS_H_
