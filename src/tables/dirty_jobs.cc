#include "tables/dirty_jobs.h"

namespace quetzalline {

void DirtyJobs::Add(std::uint64_t job, DirtyKind kind, Instant now) {
  const auto known = by_job_.find(job);
  if (known != by_job_.end()) {
    if (known->second.kind_ <= kind) return;
    Erase(job);
  }
  const Entry entry{kind, now, ++last_number_, job};
  entries_.emplace(entry, job);
  by_job_[job] = entry;
}

void DirtyJobs::Erase(std::uint64_t job) {
  const auto known = by_job_.find(job);
  if (known == by_job_.end()) return;
  entries_.erase(known->second);
  by_job_.erase(known);
}

void DirtyJobs::Clear() {
  entries_.clear();
  by_job_.clear();
}

std::optional<Instant> DirtyJobs::DueAt(Duration progress_delay) const {
  if (entries_.empty()) return std::nullopt;
  const Entry& first = entries_.begin()->first;
  if (first.kind_ == DirtyKind::kAwaited) return first.since_;
  return first.since_ + progress_delay;
}

}  // namespace quetzalline
