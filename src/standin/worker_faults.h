#ifndef QUETZALLINE_STANDIN_WORKER_FAULTS_H_
#define QUETZALLINE_STANDIN_WORKER_FAULTS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Faults to inject into an in-memory worker.
class WorkerFaults {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-faults";

  /// Every task fails when it is started.
  bool fail_every_task() const { return fail_every_task_; }

  friend auto operator<=>(const WorkerFaults&, const WorkerFaults&) = default;

 private:
  QUETZALLINE_VALUE(WorkerFaults, fail_every_task_)

  bool fail_every_task_ = false;
};

/// Builds a WorkerFaults; fields that are not set keep their defaults.
class WorkerFaults::Builder : public ValueBuilder<WorkerFaults, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& fail_every_task(bool value) {
    return Set(value_.fail_every_task_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_STANDIN_WORKER_FAULTS_H_
