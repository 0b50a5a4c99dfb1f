#ifndef QUETZALLINE_MESSAGES_WORKER_SEEN_H_
#define QUETZALLINE_MESSAGES_WORKER_SEEN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/value.h"
#include "core/worker_description.h"

namespace quetzalline {

/// The worker beside the runner announced itself.
class WorkerSeen {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-seen";

  const WorkerDescription& facts() const { return facts_; }
  /// Rises with each announcement in one life of the worker.
  std::int64_t sequence() const { return sequence_; }

  friend auto operator<=>(const WorkerSeen&, const WorkerSeen&) = default;

 private:
  QUETZALLINE_VALUE(WorkerSeen, facts_, sequence_)

  WorkerDescription facts_;
  std::int64_t sequence_ = 0;
};

/// Builds one WorkerSeen; what is not set keeps its default.
class WorkerSeen::Builder : public ValueBuilder<WorkerSeen, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& facts(WorkerDescription value) {
    return Set(value_.facts_, std::move(value));
  }
  Builder& sequence(std::int64_t value) { return Set(value_.sequence_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_SEEN_H_
