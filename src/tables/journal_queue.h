#ifndef QUETZALLINE_TABLES_JOURNAL_QUEUE_H_
#define QUETZALLINE_TABLES_JOURNAL_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "core/task_attempt_id.h"
#include "records/journal_entry.h"

namespace quetzalline {

/// Records that wait to be written to the journal, and the entry that is being
/// written.
class JournalQueue {
 public:
  void Push(const JournalRecord& record);
  /// Removes and returns the oldest records, at most this many.
  std::vector<JournalRecord> Take(std::size_t max_count);

  /// Puts records back that were taken, before those that wait.
  void Return(const std::vector<JournalRecord>& records) {
    waiting_.insert(waiting_.begin(), records.begin(), records.end());
  }
  /// Maximum number of records in the next entry.
  std::size_t entry_limit() const { return entry_limit_; }
  void LimitEntry(std::size_t limit) { entry_limit_ = limit; }

  /// Returns true if the end of this task attempt is queued or in flight.
  bool HasEnd(const TaskAttemptId& task) const { return ends_.contains(task); }
  void ForgetEnd(const TaskAttemptId& task) { ends_.erase(task); }

  const std::optional<JournalEntry>& in_flight() const { return in_flight_; }
  void SetInFlight(const JournalEntry& entry) { in_flight_ = entry; }
  void ClearInFlight() { in_flight_.reset(); }

  std::size_t waiting() const { return waiting_.size(); }
  void Clear() { *this = JournalQueue(); }

  /// Maximum number of records in one journal entry.
  static constexpr std::size_t kMaxEntryRecords = 512;

 private:
  std::deque<JournalRecord> waiting_;
  std::size_t entry_limit_ = kMaxEntryRecords;
  std::set<TaskAttemptId> ends_;
  std::optional<JournalEntry> in_flight_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOURNAL_QUEUE_H_
