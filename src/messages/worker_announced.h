#ifndef QUETZALLINE_MESSAGES_WORKER_ANNOUNCED_H_
#define QUETZALLINE_MESSAGES_WORKER_ANNOUNCED_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "core/worker_description.h"

namespace quetzalline {

/// The worker beside the runner announced itself.
class WorkerAnnounced {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-seen";

  const WorkerDescription& facts() const { return facts_; }
  /// Rises with each announcement of one incarnation of the worker.
  std::int64_t sequence() const { return sequence_; }

  friend auto operator<=>(const WorkerAnnounced&,
                          const WorkerAnnounced&) = default;

 private:
  QUETZALLINE_VALUE(WorkerAnnounced, facts_, sequence_)

  WorkerDescription facts_;
  std::int64_t sequence_ = 0;
};

/// Builds a WorkerAnnounced; fields that are not set keep their defaults.
class WorkerAnnounced::Builder : public ValueBuilder<WorkerAnnounced, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& facts(WorkerDescription value) {
    return Set(value_.facts_, std::move(value));
  }
  Builder& sequence(std::int64_t value) { return Set(value_.sequence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_ANNOUNCED_H_
