#ifndef QUETZALLINE_TABLES_WORKER_CLOCK_H_
#define QUETZALLINE_TABLES_WORKER_CLOCK_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// A reading of the worker's clock.
class WorkerClock {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-clock";

  /// The worker's clock in milliseconds.
  std::int64_t clock_ms() const { return clock_ms_; }
  /// Time of the reading by this process's clock.
  Instant read_at() const { return read_at_; }

  friend auto operator<=>(const WorkerClock&, const WorkerClock&) = default;

 private:
  QUETZALLINE_VALUE(WorkerClock, clock_ms_, read_at_)

  std::int64_t clock_ms_ = 0;
  Instant read_at_ = Instant{};
};

/// Builds a WorkerClock; fields that are not set keep their defaults.
class WorkerClock::Builder : public ValueBuilder<WorkerClock, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& clock_ms(std::int64_t value) { return Set(value_.clock_ms_, value); }
  Builder& read_at(Instant value) { return Set(value_.read_at_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_WORKER_CLOCK_H_
