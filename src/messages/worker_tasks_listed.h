#ifndef QUETZALLINE_MESSAGES_WORKER_TASKS_LISTED_H_
#define QUETZALLINE_MESSAGES_WORKER_TASKS_LISTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The worker has listed all task attempts that were running when the agent
/// started.
class WorkerTasksListed {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-listed";

  friend auto operator<=>(const WorkerTasksListed&,
                          const WorkerTasksListed&) = default;

 private:
  QUETZALLINE_VALUE(WorkerTasksListed)
};

/// Builds a WorkerTasksListed; fields that are not set keep their defaults.
class WorkerTasksListed::Builder
    : public ValueBuilder<WorkerTasksListed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_TASKS_LISTED_H_
