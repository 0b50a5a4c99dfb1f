#ifndef QUETZALLINE_TABLES_WORKER_UNHEARD_H_
#define QUETZALLINE_TABLES_WORKER_UNHEARD_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// Tasks are assigned to a worker that gives no sign of life.
class WorkerUnheard {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-unheard";

  /// One such worker.
  const MemberName& worker() const { return worker_; }
  /// Number of the job's tasks on such workers.
  std::int32_t tasks() const { return tasks_; }

  friend auto operator<=>(const WorkerUnheard&, const WorkerUnheard&) = default;

 private:
  QUETZALLINE_VALUE(WorkerUnheard, worker_, tasks_)

  MemberName worker_;
  std::int32_t tasks_ = 0;
};

/// Builds a WorkerUnheard; fields that are not set keep their defaults.
class WorkerUnheard::Builder : public ValueBuilder<WorkerUnheard, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& worker(MemberName value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& tasks(std::int32_t value) { return Set(value_.tasks_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_UNHEARD_H_
