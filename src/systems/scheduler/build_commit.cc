#include "systems/scheduler/build_commit.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/isolate_rejected.h"
#include "systems/scheduler/split_progress.h"
#include "systems/scheduler/track_crashes.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_lost_workers.h"

namespace quetzalline {
namespace {

// Number of entries of a job whose progress has one part.
constexpr std::size_t kUsualEntriesPerJob = 2;
// Maximum number of expired jobs that one commit removes, with one entry each.
constexpr std::size_t kMaxExpiredPerCommit = 4;
// Entries that jobs leave to the records of absent workers.
constexpr std::size_t kMaxHandoversBeforeJobs = 14;
// The entries of one job in a commit.
struct JobEntries {
  std::vector<KvsPut> puts_;
  std::vector<std::string> removals_;
  /// All parts of the job's progress, if there are several.
  std::vector<JobProgress> parts_;

  std::size_t size() const { return puts_.size() + removals_.size(); }
};

// Adds the parts of the job's progress that differ from what is stored.
void AddProgress(std::uint64_t job, const JobRow& row,
                 const SchedulerTables& tables, JobEntries& entries) {
  const bool without = tables.jobs_without_checkpoints_.count(job) > 0;
  std::vector<JobProgress> parts =
      SplitProgress(ProgressOf(job, tables), *row.record()->definition(),
                    without ? CheckpointUse::kNone : CheckpointUse::kUpToLimit);
  const auto found = tables.stored_progress_.find(job);
  const bool known = found != tables.stored_progress_.end() &&
                     found->second.size() == parts.size();
  for (std::size_t part = 0; part < parts.size(); ++part) {
    // The first part is always there, the others once they have progress.
    const bool unchanged = known ? parts[part] == found->second[part]
                                 : part > 0 && parts[part] == JobProgress();
    if (unchanged) continue;
    entries.puts_.push_back(MakePut(ProgressKey(job, part), parts[part]));
  }
  if (parts.size() > 1) entries.parts_ = std::move(parts);
}

JobEntries MakeJobEntries(std::uint64_t job, const JobRow& row,
                          const SchedulerTables& tables) {
  JobEntries entries;
  const bool job_finished = IsFinalState(row.state());
  const bool new_job = !row.stored();
  if (new_job && !job_finished) {
    entries.puts_.push_back(MakePut(JobKey(job), *row.record()));
  }
  if (job_finished) {
    // The record of a job that does not count as stored may be there, too: a
    // commit whose outcome was not known may have been applied late.
    entries.removals_.push_back(JobKey(job));
    const std::size_t parts = CountProgressParts(*row.record()->definition());
    for (std::size_t part = 1; part < parts; ++part) {
      entries.removals_.push_back(ProgressKey(job, part));
    }
  }
  if (job_finished || !new_job) AddProgress(job, row, tables, entries);
  return entries;
}

std::size_t SizeOf(const CommitBatch& batch) {
  return batch.puts_.size() + batch.removals_.size();
}

bool IsFull(const CommitBatch& batch,
            std::size_t max_entries = kMaxCommitEntries) {
  return SizeOf(batch) + kUsualEntriesPerJob > max_entries;
}

// Adds a job to the batch. Returns false if it does not fit, which a job of
// several parts may not beside others.
bool AddJobToBatch(std::uint64_t job, std::size_t max_entries,
                   SchedulerTables& tables, CommitBatch& batch) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return true;
  JobEntries entries = MakeJobEntries(job, *row, tables);
  const std::size_t limit =
      SizeOf(batch) == 0 ? kMaxCommitEntries : max_entries;
  if (SizeOf(batch) + entries.size() > limit) return false;
  batch.jobs_.push_back(job);
  std::move(entries.puts_.begin(), entries.puts_.end(),
            std::back_inserter(batch.puts_));
  std::move(entries.removals_.begin(), entries.removals_.end(),
            std::back_inserter(batch.removals_));
  if (!entries.parts_.empty()) {
    batch.progress_[job] = std::move(entries.parts_);
  }
  if (row->stored() || IsFinalState(row->state())) {
    const auto suspects = SuspectsOf(job, tables);
    batch.suspects_.insert(batch.suspects_.end(), suspects.begin(),
                           suspects.end());
  }
  return true;
}

// Adds the jobs with unstored changes to the batch, up to its entry limit, jobs
// with waiting callers first.
void AddJobs(std::size_t max_entries, SchedulerTables& tables,
             CommitBatch& batch) {
  std::vector<std::uint64_t> by_priority;
  for (const CallerWaiting& caller : tables.callers_) {
    if (tables.dirty_jobs_.Contains(caller.job())) {
      by_priority.push_back(caller.job());
    }
  }
  for (const auto& [entry, job] : tables.dirty_jobs_.entries()) {
    if (by_priority.size() >= tables.callers_.size() + kMaxCommitEntries) break;
    by_priority.push_back(job);
  }
  for (const std::uint64_t job : by_priority) {
    if (IsFull(batch, max_entries)) return;
    if (!tables.dirty_jobs_.Contains(job)) continue;
    if (AddJobToBatch(job, max_entries, tables, batch)) {
      tables.dirty_jobs_.Erase(job);
    }
  }
}

// Moves the completions and callers that wait for the batch's jobs to it.
void AddWaiting(SchedulerTables& tables, CommitBatch& batch) {
  const auto in_batch = [&](std::uint64_t job) {
    return std::find(batch.jobs_.begin(), batch.jobs_.end(), job) !=
           batch.jobs_.end();
  };
  for (const UnacknowledgedCompletion& end :
       tables.unacknowledged_completions_) {
    if (in_batch(end.job())) batch.completions_.push_back(end);
  }
  std::vector<CallerWaiting> others;
  for (const CallerWaiting& caller : tables.callers_) {
    (in_batch(caller.job()) ? batch.callers_ : others).push_back(caller);
  }
  tables.callers_ = std::move(others);
}

// Adds the changes of one member only; the others stay where they are.
void AddMemberToBatch(const MemberName& name, const RejectedRecord& record,
                      Instant now, SchedulerTables& tables,
                      CommitBatch& batch) {
  auto lost_changes = std::exchange(tables.confirmed_lost_changes_, {});
  auto handover_changes = std::exchange(tables.handover_changes_, {});
  if (record.lost_change()) {
    tables.confirmed_lost_changes_[name] = *record.lost_change();
  }
  if (record.handover_change()) {
    tables.handover_changes_[name] = *record.handover_change();
  }
  AddLostWorkerChanges(kMaxCommitEntries, tables, batch);
  AddHandovers(kMaxCommitEntries, now, tables, batch);
  tables.confirmed_lost_changes_ = std::move(lost_changes);
  tables.handover_changes_ = std::move(handover_changes);
}

}  // namespace

CommitBatch BuildCommit(SchedulerTables& tables, Instant now) {
  CommitBatch batch;
  batch.since_ = now;
  AddLostWorkerChanges(kMaxCommitEntries, tables, batch);
  const std::size_t reserved =
      std::min(tables.handover_changes_.size(), kMaxHandoversBeforeJobs);
  AddJobs(kMaxCommitEntries - reserved, tables, batch);
  AddHandovers(kMaxCommitEntries, now, tables, batch);
  for (const std::uint64_t job : tables.expired_jobs_) {
    if (batch.expired_.size() >= kMaxExpiredPerCommit || IsFull(batch)) break;
    batch.expired_.push_back(job);
    batch.removals_.push_back(ProgressKey(job));
  }
  AddWaiting(tables, batch);
  return batch;
}

CommitBatch BuildIsolatedCommit(SchedulerTables& tables, Instant now) {
  CommitBatch batch;
  batch.since_ = now;
  batch.isolated_ = true;
  for (const RecordUnit& unit : ChooseIsolatedUnits(tables, now)) {
    const RejectedRecord record = *tables.rejected_records_.Find(unit);
    const std::size_t size = SizeOf(batch);
    const bool fits = std::visit(
        Overloaded{
            [&](const JobRecordUnit& u) {
              return AddJobToBatch(u.job(), kMaxCommitEntries, tables, batch);
            },
            [&](const MemberRecordUnit& u) {
              AddMemberToBatch(u.member(), record, now, tables, batch);
              return true;
            },
        },
        unit);
    // Nothing of these records is left to be stored.
    if (fits && SizeOf(batch) == size) tables.rejected_records_.Erase(unit);
  }
  AddWaiting(tables, batch);
  return batch;
}

}  // namespace quetzalline
