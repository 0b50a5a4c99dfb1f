#ifndef QUETZALLINE_MESSAGES_WORKER_HOLD_H_
#define QUETZALLINE_MESSAGES_WORKER_HOLD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "core/value.h"

namespace quetzalline {

/// Renews the worker's lease and reads its lists.
class WorkerHold {
 public:
  class Builder;

  static constexpr std::string_view kName = "worker-hold";

  std::uint64_t call() const { return call_; }
  const std::string& worker() const { return worker_; }
  /// 0 where the lease is not renewed.
  std::int64_t lease_end_ms() const { return lease_end_ms_; }
  /// Ends up to this number may be forgotten.
  std::int64_t last_seen() const { return last_seen_; }
  std::int64_t fence() const { return fence_; }
  /// Longest time to wait for an end.
  Duration wait() const { return wait_; }

  friend auto operator<=>(const WorkerHold&, const WorkerHold&) = default;

 private:
  QUETZALLINE_VALUE(WorkerHold, call_, worker_, lease_end_ms_, last_seen_,
                    fence_, wait_)

  std::uint64_t call_ = 0;
  std::string worker_;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t last_seen_ = 0;
  std::int64_t fence_ = 0;
  Duration wait_ = Duration{};
};

/// Builds one WorkerHold; what is not set keeps its default.
class WorkerHold::Builder : public ValueBuilder<WorkerHold, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& call(std::uint64_t value) { return Set(value_.call_, value); }
  Builder& worker(std::string value) {
    return Set(value_.worker_, std::move(value));
  }
  Builder& lease_end_ms(std::int64_t value) {
    return Set(value_.lease_end_ms_, value);
  }
  Builder& last_seen(std::int64_t value) {
    return Set(value_.last_seen_, value);
  }
  Builder& fence(std::int64_t value) { return Set(value_.fence_, value); }
  Builder& wait(Duration value) { return Set(value_.wait_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_HOLD_H_
