#ifndef QUETZALLINE_TABLES_DIRTY_JOBS_H_
#define QUETZALLINE_TABLES_DIRTY_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/time.h"

namespace quetzalline {

/// Reason for storing a job's record: kAwaited if a caller or worker waits for
/// it, kProgress if it only saves repeated work after a failure.
enum class DirtyKind : std::uint8_t { kAwaited, kProgress };

/// Jobs whose stored record is outdated. Awaited records come first; records of
/// one kind are ordered by their first change, so that jobs that change often
/// do not starve the others.
class DirtyJobs {
 public:
  struct Entry {
    DirtyKind kind_ = DirtyKind::kProgress;
    Instant since_;
    std::uint64_t number_ = 0;
    std::uint64_t job_ = 0;

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  void Add(std::uint64_t job, DirtyKind kind, Instant now);
  void Erase(std::uint64_t job);
  void Clear();

  bool Contains(std::uint64_t job) const { return by_job_.count(job) > 0; }
  bool empty() const { return by_job_.empty(); }
  std::size_t size() const { return by_job_.size(); }
  /// The jobs in the order in which they are to be stored.
  const std::map<Entry, std::uint64_t>& entries() const { return entries_; }

  /// Returns the time at which the first record has to be stored if progress
  /// may be delayed by this much, or nothing if all records are up to date.
  std::optional<Instant> DueAt(Duration progress_delay) const;

 private:
  std::map<Entry, std::uint64_t> entries_;
  std::map<std::uint64_t, Entry> by_job_;
  std::uint64_t last_number_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_DIRTY_JOBS_H_
