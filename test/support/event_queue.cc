#include "support/event_queue.h"

#include <algorithm>
#include <utility>

namespace quetzalline {
void EventQueue::At(Instant time, Callback callback) {
  events_.push(
      Event{std::max(time, now_), ++last_sequence_, std::move(callback)});
}

void EventQueue::RunUntil(Instant time) {
  while (!events_.empty() && events_.top().time_ <= time) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    event.callback_();
  }
  now_ = std::max(now_, time);
}

}  // namespace quetzalline
