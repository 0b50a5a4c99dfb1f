#ifndef QUETZALLINE_TABLES_DIRTY_JOBS_H_
#define QUETZALLINE_TABLES_DIRTY_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/time.h"

namespace quetzalline {

/// Whether somebody waits for a job's record to be kept, or it only saves work
/// after a failure.
enum class DirtyKind : std::uint8_t { kAwaited, kProgress };

/// Jobs whose kept record is behind what is known, those that somebody waits
/// for first, and each kind in the order of its first change, so that none
/// waits for ever behind jobs that change often.
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
  /// In the order in which they are to be kept.
  const std::map<Entry, std::uint64_t>& entries() const { return entries_; }

  /// When the first of them has to be kept, if progress may wait this long.
  std::optional<Instant> DueAt(Duration progress_pause) const;

 private:
  std::map<Entry, std::uint64_t> entries_;
  std::map<std::uint64_t, Entry> by_job_;
  std::uint64_t last_number_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_DIRTY_JOBS_H_
