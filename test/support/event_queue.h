#ifndef QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_
#define QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "core/time.h"

namespace quetzalline {

/// Runs callbacks in virtual time, ordered by their time and, at equal times,
/// by the order in which they were added.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  /// Returns the current virtual time.
  Instant now() const { return now_; }
  /// Schedules a callback; a time in the past counts as now.
  void At(Instant time, Callback callback);
  void After(Duration delay, Callback callback) {
    At(now_ + delay, std::move(callback));
  }

  /// Runs all callbacks that are due up to and including the time, then
  /// advances the clock to it.
  void RunUntil(Instant time);

 private:
  struct Event {
    Instant time_;
    std::uint64_t sequence_;
    Callback callback_;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return std::pair(a.time_, a.sequence_) > std::pair(b.time_, b.sequence_);
    }
  };

  Instant now_{};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_
