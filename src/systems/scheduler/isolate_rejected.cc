#include "systems/scheduler/isolate_rejected.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/admit_jobs.h"
#include "systems/scheduler/finish_job.h"
#include "systems/scheduler/track_jobs.h"

namespace quetzalline {
namespace {

// Delay after the first rejection of records alone. It doubles with each
// further one: a tenth of the five seconds within which completions must be
// acknowledged, so that a job that cannot be stored has failed by then.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(30);
constexpr int kMaxRetryShift = 6;
// Number of rejections alone after which a job fails: one with and one without
// its checkpoints.
constexpr int kRejectionsBeforeFailure = 2;
// The same for commits without an answer, which take half a minute. The answers
// of some of the other commits arrive in that time.
constexpr int kUnstoredBeforeFailure = 6;

// Why a commit is abandoned.
enum class Abandoned : std::uint8_t { kRejected, kRefused, kUnstored };

// Number of refused jobs that are remembered.
constexpr std::size_t kMaxUnstorableJobs = 1000;

RecordUnit JobUnit(std::uint64_t job) {
  return JobRecordUnit::Builder().job(job).Build();
}

RecordUnit MemberUnit(const MemberName& member) {
  return MemberRecordUnit::Builder().member(member).Build();
}

std::string UnitName(const RecordUnit& unit) {
  return std::visit(Overloaded{
                        [](const JobRecordUnit& u) { return JobKey(u.job()); },
                        [](const MemberRecordUnit& u) {
                          return std::string(u.member().value());
                        },
                    },
                    unit);
}

Duration RetryDelay(int rejections) {
  const int shift = std::min(std::max(rejections - 1, 0), kMaxRetryShift);
  return std::min<Duration>(kFirstRetryDelay * (1 << shift), kMaxRetryDelay);
}

// Removes and returns the callers that wait for a job.
std::vector<CallerWaiting> TakeCallers(std::uint64_t job,
                                       SchedulerTables& tables) {
  std::vector<CallerWaiting> taken;
  std::vector<CallerWaiting> others;
  for (const CallerWaiting& caller : std::exchange(tables.callers_, {})) {
    (caller.job() == job ? taken : others).push_back(caller);
  }
  tables.callers_ = std::move(others);
  return taken;
}

void ReplyOutcomeUnknown(const CallerWaiting& caller, SchedulerTick& tick) {
  ReplyToEntry(caller.connection(),
               JobOutcomeUnknown::Builder().ticket(caller.ticket()).Build(),
               tick);
}

// Refuses a job that was never stored, and its repeats if it is at fault.
void RefuseJob(std::uint64_t job, bool at_fault, SchedulerTables& tables,
               SchedulerTick& tick) {
  for (const CallerWaiting& caller : TakeCallers(job, tables)) {
    if (caller.withdraws()) {
      ReplyOutcomeUnknown(caller, tick);
    } else {
      RefuseStoreUnavailable(caller.connection(), caller.ticket(), job, tick);
    }
  }
  DiscardJob(job, tables);
  if (!at_fault) return;
  if (tables.unstorable_jobs_.size() >= kMaxUnstorableJobs) {
    tables.unstorable_jobs_.clear();
  }
  tables.unstorable_jobs_.insert(job);
}

void HandleRejectedJob(std::uint64_t job, Abandoned cause,
                       const RejectedRecord& record, SchedulerTables& tables,
                       SchedulerTick& tick) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  if (!row->stored() && !record.uncertain()) {
    const bool at_fault =
        cause == Abandoned::kRejected && record.others_stored();
    return RefuseJob(job, at_fault, tables, tick);
  }
  for (const CallerWaiting& caller : TakeCallers(job, tables)) {
    ReplyOutcomeUnknown(caller, tick);
  }
  if (record.rejections() > 0) tables.jobs_without_checkpoints_.insert(job);
  const int limit = cause == Abandoned::kRejected ? kRejectionsBeforeFailure
                                                  : kUnstoredBeforeFailure;
  const bool fails = cause != Abandoned::kRefused && row->stored() &&
                     record.others_stored() && record.rejections() >= limit;
  if (fails) {
    FinishJob(job, JobState::kFailed, Reason::kRecordRejected, tables, tick);
  }
}

// Handles an abandoned commit of these records alone.
void HandleIsolatedRejection(const RecordUnit& unit, Abandoned cause,
                             SchedulerTables& tables, SchedulerTick& tick) {
  const RejectedRecord* known = tables.rejected_records_.Find(unit);
  const RejectedRecord before = known == nullptr ? RejectedRecord() : *known;
  const bool everything =
      cause == Abandoned::kRefused && !before.others_stored();
  const int rejections = before.rejections() + (everything ? 0 : 1);
  const RejectedRecord record =
      RejectedRecord::Builder(before)
          .rejections(rejections)
          .uncertain(before.uncertain() || cause == Abandoned::kUnstored)
          .retry_at(tick.now() + RetryDelay(rejections))
          .Build();
  LogLine(tick, "record-rejected", 0,
          {Field("record", UnitName(unit)),
           Field("answered", cause == Abandoned::kUnstored ? 0 : 1),
           Field("rejections", record.rejections()),
           Field("others_stored", record.others_stored() ? 1 : 0)});
  tables.rejected_records_.Put(
      unit, RejectedRecord::Builder(record).others_stored(false).Build());
  if (const auto* job = std::get_if<JobRecordUnit>(&unit)) {
    HandleRejectedJob(job->job(), cause, record, tables, tick);
  }
}

// Puts the changes of an abandoned commit back, to be committed in two halves.
void HalveUnits(const CommitBatch& batch, Abandoned cause,
                SchedulerTables& tables, Instant now) {
  const std::vector<RecordUnit> units = UnitsOf(batch);
  const std::int64_t first = ++tables.last_rejected_group_;
  const std::int64_t second = ++tables.last_rejected_group_;
  for (std::size_t i = 0; i < units.size(); ++i) {
    const RejectedRecord* known = tables.rejected_records_.Find(units[i]);
    const bool uncertain = cause == Abandoned::kUnstored ||
                           batch.sequences_.size() > 1 ||
                           (known != nullptr && known->uncertain());
    tables.rejected_records_.Put(
        units[i], RejectedRecord::Builder()
                      .group(2 * i < units.size() ? first : second)
                      .retry_at(now)
                      .uncertain(uncertain)
                      .Build());
  }
  const auto put_back = [](const std::vector<MemberName>& names, bool change,
                           std::map<MemberName, bool>& changes) {
    for (const MemberName& name : names) changes.try_emplace(name, change);
  };
  put_back(batch.lost_workers_, true, tables.confirmed_lost_changes_);
  put_back(batch.recovered_workers_, false, tables.confirmed_lost_changes_);
  put_back(batch.handed_over_workers_, true, tables.handover_changes_);
  for (const MemberName& name : batch.returned_workers_) {
    // The handover record of a lost worker is removed with its loss.
    const bool lost =
        std::find(batch.lost_workers_.begin(), batch.lost_workers_.end(),
                  name) != batch.lost_workers_.end();
    if (!lost) tables.handover_changes_.try_emplace(name, false);
  }
}

// Moves the change of a member from a set of changes to its row. Returns true
// if it differs from the one that was rejected.
bool HoldBackChange(const MemberName& name, std::optional<bool>& held,
                    std::map<MemberName, bool>& changes) {
  const auto change = changes.find(name);
  if (change == changes.end()) return false;
  const bool differs = held && *held != change->second;
  held = change->second;
  changes.erase(change);
  return differs;
}

// Returns the row of a rejected job; empty if the job is gone.
std::optional<RejectedRecord> HoldBackJob(std::uint64_t job,
                                          const RejectedRecord& record,
                                          SchedulerTables& tables,
                                          Instant now) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return std::nullopt;
  tables.dirty_jobs_.Erase(job);
  // The record of a job that has ended is small.
  if (!IsFinalState(row->state()) || record.job_finished()) return record;
  return RejectedRecord::Builder(record)
      .job_finished(true)
      .rejections(0)
      .retry_at(now)
      .Build();
}

RejectedRecord HoldBackMember(const MemberName& name,
                              const RejectedRecord& record,
                              SchedulerTables& tables, Instant now) {
  std::optional<bool> lost = record.lost_change();
  std::optional<bool> handover = record.handover_change();
  const bool lost_differs =
      HoldBackChange(name, lost, tables.confirmed_lost_changes_);
  const bool handover_differs =
      HoldBackChange(name, handover, tables.handover_changes_);
  RejectedRecord::Builder held(record);
  held.lost_change(lost).handover_change(handover);
  if (lost_differs || handover_differs) held.retry_at(now);
  return held.Build();
}

void AbandonCommit(Abandoned cause, SchedulerTables& tables,
                   SchedulerTick& tick) {
  const CommitBatch batch = std::move(*tables.commit_);
  tables.commit_.reset();
  const std::vector<RecordUnit> units = UnitsOf(batch);
  LogLine(tick, "commit-rejected", 0,
          {Field("epoch", tables.term_.epoch()),
           Field("sequence", tables.term_.sequence()),
           Field("answered", cause == Abandoned::kUnstored ? 0 : 1),
           Field("records", units.size()),
           Field("isolated", batch.isolated_ ? 1 : 0)});
  tables.callers_.insert(tables.callers_.end(), batch.callers_.begin(),
                         batch.callers_.end());
  // Without records at fault, the store rejects everything.
  tables.next_commit_ =
      units.empty() ? tick.now() + kFirstRetryDelay : tick.now();
  if (batch.isolated_ && units.size() == 1) {
    return HandleIsolatedRejection(units.front(), cause, tables, tick);
  }
  HalveUnits(batch, cause, tables, tick.now());
}

}  // namespace

std::vector<RecordUnit> UnitsOf(const CommitBatch& batch) {
  std::vector<RecordUnit> units;
  for (const std::uint64_t job : batch.jobs_) units.push_back(JobUnit(job));
  std::set<MemberName> members;
  for (const auto* names :
       {&batch.lost_workers_, &batch.recovered_workers_,
        &batch.handed_over_workers_, &batch.returned_workers_}) {
    members.insert(names->begin(), names->end());
  }
  for (const MemberName& name : members) units.push_back(MemberUnit(name));
  return units;
}

bool HasUnstoredChanges(std::uint64_t job, const SchedulerTables& tables) {
  if (tables.dirty_jobs_.Contains(job)) return true;
  if (tables.rejected_records_.Find(JobUnit(job)) != nullptr) return true;
  if (!tables.commit_) return false;
  const std::vector<std::uint64_t>& jobs = tables.commit_->jobs_;
  return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
}

void HoldBackRejected(SchedulerTables& tables, SchedulerTick& tick) {
  if (tables.rejected_records_.empty()) return;
  const std::map<RecordUnit, RejectedRecord> rows =
      tables.rejected_records_.Sorted();
  for (const auto& [unit, record] : rows) {
    const std::optional<RejectedRecord> held =
        std::visit(Overloaded{
                       [&, &row = record](const JobRecordUnit& u) {
                         return HoldBackJob(u.job(), row, tables, tick.now());
                       },
                       [&, &row = record](const MemberRecordUnit& u) {
                         return std::optional(HoldBackMember(
                             u.member(), row, tables, tick.now()));
                       },
                   },
                   unit);
    if (held) {
      tables.rejected_records_.Put(unit, *held);
    } else {
      tables.rejected_records_.Erase(unit);
    }
  }
}

std::optional<Instant> NextIsolatedCommit(const SchedulerTables& tables) {
  std::optional<Instant> next;
  for (const auto& [unit, record] : tables.rejected_records_) {
    next = std::min(next.value_or(Instant::max()), record.retry_at());
  }
  return next;
}

std::vector<RecordUnit> ChooseIsolatedUnits(const SchedulerTables& tables,
                                            Instant now) {
  std::optional<RejectedRecord> first;
  for (const auto& [unit, record] : tables.rejected_records_) {
    if (record.retry_at() > now) continue;
    if (!first || record.retry_at() < first->retry_at()) first = record;
  }
  std::vector<RecordUnit> chosen;
  if (!first) return chosen;
  if (first->rejections() > 0 && !first->others_stored()) return chosen;
  for (const auto& [unit, record] : tables.rejected_records_) {
    if (record.group() == first->group()) chosen.push_back(unit);
  }
  return chosen;
}

void MarkUnitsStored(const CommitBatch& batch, SchedulerTables& tables) {
  for (const RecordUnit& unit : UnitsOf(batch)) {
    tables.rejected_records_.Erase(unit);
  }
  for (const auto& [unit, record] : tables.rejected_records_.Sorted()) {
    if (record.others_stored()) continue;
    tables.rejected_records_.Put(
        unit, RejectedRecord::Builder(record).others_stored(true).Build());
  }
}

void HandleRejectedCommit(SchedulerTables& tables, SchedulerTick& tick) {
  AbandonCommit(Abandoned::kRejected, tables, tick);
}

void HandleRefusedCommit(SchedulerTables& tables, SchedulerTick& tick) {
  AbandonCommit(Abandoned::kRefused, tables, tick);
  // The others are committed first.
  tables.isolated_last_ = true;
}

void HandleUnstoredCommit(SchedulerTables& tables, SchedulerTick& tick) {
  AbandonCommit(Abandoned::kUnstored, tables, tick);
  // The store answers reads. The others are committed first.
  tables.store_failing_since_.reset();
  tables.isolated_last_ = true;
}

}  // namespace quetzalline
