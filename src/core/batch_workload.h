#ifndef QUETZALLINE_CORE_BATCH_WORKLOAD_H_
#define QUETZALLINE_CORE_BATCH_WORKLOAD_H_

#include <compare>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A task that runs to completion.
class BatchWorkload {
 public:
  class Builder;

  static constexpr std::string_view kName = "batch-workload";

  /// Declared run time on an idle worker.
  Duration run_time() const { return run_time_; }
  /// Time between checkpoints; zero if the task writes none.
  Duration checkpoint_interval() const { return checkpoint_interval_; }

  friend auto operator<=>(const BatchWorkload&, const BatchWorkload&) = default;

 private:
  QUETZALLINE_VALUE(BatchWorkload, run_time_, checkpoint_interval_)

  Duration run_time_ = Duration{};
  Duration checkpoint_interval_ = Duration{};
};

/// Builds a BatchWorkload; fields that are not set keep their defaults.
class BatchWorkload::Builder : public ValueBuilder<BatchWorkload, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& run_time(Duration value) { return Set(value_.run_time_, value); }
  Builder& checkpoint_interval(Duration value) {
    return Set(value_.checkpoint_interval_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_BATCH_WORKLOAD_H_
