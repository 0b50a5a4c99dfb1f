#ifndef QUETZALLINE_TABLES_WORKER_USE_H_
#define QUETZALLINE_TABLES_WORKER_USE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Resources of a worker that its assigned tasks take.
class WorkerUse {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-use";

  /// CPU of all but best-effort tasks, in thousandths of a core.
  std::int64_t cpu() const { return cpu_; }
  std::int64_t memory_mb() const { return memory_mb_; }
  std::int64_t gpu() const { return gpu_; }
  /// CPU requested by best-effort tasks, in thousandths of a core.
  std::int64_t fill_cpu() const { return fill_cpu_; }
  /// Part of cpu() that tasks with a tail target take.
  std::int64_t serving_cpu() const { return serving_cpu_; }

  friend auto operator<=>(const WorkerUse&, const WorkerUse&) = default;

 private:
  QUETZALLINE_VALUE(WorkerUse, cpu_, memory_mb_, gpu_, fill_cpu_, serving_cpu_)

  std::int64_t cpu_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t gpu_ = 0;
  std::int64_t fill_cpu_ = 0;
  std::int64_t serving_cpu_ = 0;
};

/// Builds a WorkerUse; fields that are not set keep their defaults.
class WorkerUse::Builder : public ValueBuilder<WorkerUse, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& cpu(std::int64_t value) { return Set(value_.cpu_, value); }
  Builder& memory_mb(std::int64_t value) {
    return Set(value_.memory_mb_, value);
  }
  Builder& gpu(std::int64_t value) { return Set(value_.gpu_, value); }
  Builder& fill_cpu(std::int64_t value) { return Set(value_.fill_cpu_, value); }
  Builder& serving_cpu(std::int64_t value) {
    return Set(value_.serving_cpu_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_USE_H_
