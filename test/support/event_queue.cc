#include "support/event_queue.h"

#include <algorithm>
#include <utility>

namespace quetzalline {
void EventQueue::At(Instant time, Work work) {
  events_.push(Event{std::max(time, now_), ++last_order_, std::move(work)});
}

void EventQueue::RunUntil(Instant time) {
  while (!events_.empty() && events_.top().time_ <= time) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    event.work_();
  }
  now_ = std::max(now_, time);
}

}  // namespace quetzalline
