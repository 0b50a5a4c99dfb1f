#ifndef QUETZALLINE_MESSAGES_WORKER_LISTED_H_
#define QUETZALLINE_MESSAGES_WORKER_LISTED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The worker has listed all task attempts that were running when the agent
/// started.
class WorkerListed {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-listed";

  friend auto operator<=>(const WorkerListed&, const WorkerListed&) = default;

 private:
  QUETZALLINE_VALUE(WorkerListed)
};

/// Builds a WorkerListed; fields that are not set keep their defaults.
class WorkerListed::Builder : public ValueBuilder<WorkerListed, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_LISTED_H_
