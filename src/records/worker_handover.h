#ifndef QUETZALLINE_RECORDS_WORKER_HANDOVER_H_
#define QUETZALLINE_RECORDS_WORKER_HANDOVER_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/task_key.h"
#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// What a holder of the cell leaves about a worker to the holder of the next
/// epoch. While the record may be stored, the holder of its epoch grants no
/// lease to the worker and starts nothing on it.
class WorkerHandover {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-handover";

  /// Epoch of the holder that wrote the record.
  std::int64_t epoch() const { return epoch_; }
  /// Time from the commit after which all leases of the worker have certainly
  /// expired.
  Duration remaining() const { return remaining_; }
  /// Returns true if no other tasks than the listed ones can be running on the
  /// worker or have ended there without a stored effect.
  bool complete() const { return complete_; }
  const std::vector<TaskKey>& tasks() const { return tasks_; }
  /// Returns true if the worker did not answer when the record was written.
  bool absent() const { return absent_; }

  friend auto operator<=>(const WorkerHandover&,
                          const WorkerHandover&) = default;

 private:
  QUETZALLINE_VALUE(WorkerHandover, epoch_, remaining_, complete_, tasks_,
                    absent_)

  std::int64_t epoch_ = 0;
  Duration remaining_{};
  bool complete_ = false;
  std::vector<TaskKey> tasks_;
  bool absent_ = false;
};

/// Builds a WorkerHandover; fields that are not set keep their defaults.
class WorkerHandover::Builder : public ValueBuilder<WorkerHandover, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& epoch(std::int64_t value) { return Set(value_.epoch_, value); }
  Builder& remaining(Duration value) { return Set(value_.remaining_, value); }
  Builder& complete(bool value) { return Set(value_.complete_, value); }
  Builder& tasks(std::vector<TaskKey> value) {
    return Set(value_.tasks_, std::move(value));
  }
  Builder& absent(bool value) { return Set(value_.absent_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_WORKER_HANDOVER_H_
