#ifndef QUETZALLINE_TABLES_WORKER_HEALTH_H_
#define QUETZALLINE_TABLES_WORKER_HEALTH_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Failure history of the tasks on one instance.
class WorkerHealth {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-health";

  /// Number of consecutive failed tasks.
  std::int32_t failures() const { return failures_; }
  /// End of the quarantine after failures; no task is placed here before.
  Instant rested_until() const { return rested_until_; }

  friend auto operator<=>(const WorkerHealth&, const WorkerHealth&) = default;

 private:
  QUETZALLINE_VALUE(WorkerHealth, failures_, rested_until_)

  std::int32_t failures_ = 0;
  Instant rested_until_ = Instant{};
};

/// Builds a WorkerHealth; fields that are not set keep their defaults.
class WorkerHealth::Builder : public ValueBuilder<WorkerHealth, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& failures(std::int32_t value) { return Set(value_.failures_, value); }
  Builder& rested_until(Instant value) {
    return Set(value_.rested_until_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_HEALTH_H_
