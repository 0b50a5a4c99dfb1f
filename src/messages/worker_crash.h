#ifndef QUETZALLINE_MESSAGES_WORKER_CRASH_H_
#define QUETZALLINE_MESSAGES_WORKER_CRASH_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/value.h"
#include "messages/lost_run.h"

namespace quetzalline {

/// A crash of a worker, with the runs that were lost: another incarnation has
/// replaced one that had announced no departure.
class WorkerCrash {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-crash";

  /// Start time of the lost incarnation in Unix milliseconds.
  std::int64_t born_ms() const { return born_ms_; }
  /// Time between the loss and this report, in milliseconds.
  std::int64_t since_ms() const { return since_ms_; }
  /// Runs that the incarnation may have started.
  const std::vector<LostRun>& runs() const { return runs_; }

  friend auto operator<=>(const WorkerCrash&, const WorkerCrash&) = default;

 private:
  QUETZALLINE_VALUE(WorkerCrash, born_ms_, since_ms_, runs_)

  std::int64_t born_ms_ = 0;
  std::int64_t since_ms_ = 0;
  std::vector<LostRun> runs_;
};

/// Builds a WorkerCrash; fields that are not set keep their defaults.
class WorkerCrash::Builder : public ValueBuilder<WorkerCrash, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& born_ms(std::int64_t value) { return Set(value_.born_ms_, value); }
  Builder& since_ms(std::int64_t value) { return Set(value_.since_ms_, value); }
  Builder& runs(std::vector<LostRun> value) {
    return Set(value_.runs_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_CRASH_H_
