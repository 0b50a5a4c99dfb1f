#ifndef QUETZALLINE_TEST_SUPPORT_WORKER_ROOM_H_
#define QUETZALLINE_TEST_SUPPORT_WORKER_ROOM_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Capacity of a simulated worker.
class WorkerRoom {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-room";

  /// CPU in thousandths of a core.
  std::int64_t cpu() const { return cpu_; }
  std::int64_t memory_mb() const { return memory_mb_; }

  friend auto operator<=>(const WorkerRoom&, const WorkerRoom&) = default;

 private:
  QUETZALLINE_VALUE(WorkerRoom, cpu_, memory_mb_)

  std::int64_t cpu_ = 16'000;
  std::int64_t memory_mb_ = 64'000;
};

/// Builds a WorkerRoom; fields that are not set keep their defaults.
class WorkerRoom::Builder : public ValueBuilder<WorkerRoom, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& cpu(std::int64_t value) { return Set(value_.cpu_, value); }
  Builder& memory_mb(std::int64_t value) {
    return Set(value_.memory_mb_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_WORKER_ROOM_H_
