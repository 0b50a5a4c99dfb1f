#include "tables/journal_queue.h"

#include <algorithm>
#include <iterator>

namespace quetzalline {
void JournalQueue::Push(const JournalRecord& record) {
  if (const auto* ended = std::get_if<TaskEnded>(&record)) {
    ends_.insert(ended->task());
  }
  waiting_.push_back(record);
}

std::vector<JournalRecord> JournalQueue::Take(std::size_t max_count) {
  const std::size_t count = std::min(max_count, waiting_.size());
  const auto last = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<JournalRecord> taken(waiting_.begin(), last);
  waiting_.erase(waiting_.begin(), last);
  return taken;
}

}  // namespace quetzalline
