#ifndef QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_
#define QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "core/time.h"

namespace quetzalline {

/// Work in virtual time: each piece runs at its own time, and pieces of the
/// same time in the order in which they were added.
class EventQueue {
 public:
  using Work = std::function<void()>;

  Instant now() const { return now_; }
  void At(Instant time, Work work);
  void After(Duration delay, Work work) { At(now_ + delay, std::move(work)); }

  /// Runs everything up to this time, which becomes the present.
  void RunUntil(Instant time);

 private:
  struct Event {
    Instant time_;
    std::uint64_t order_;
    Work work_;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return std::pair(a.time_, a.order_) > std::pair(b.time_, b.order_);
    }
  };

  Instant now_{};
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_EVENT_QUEUE_H_
