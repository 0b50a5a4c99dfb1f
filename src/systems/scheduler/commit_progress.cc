#include "systems/scheduler/commit_progress.h"

#include <algorithm>
#include <set>
#include <utility>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/admit_jobs.h"
#include "systems/scheduler/build_commit.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/confirm_epoch.h"
#include "systems/scheduler/hand_over_workers.h"
#include "systems/scheduler/isolate_rejected.h"
#include "systems/scheduler/leader_election.h"
#include "systems/scheduler/track_crashes.h"
#include "systems/scheduler/track_jobs.h"
#include "systems/scheduler/track_lost_workers.h"

namespace quetzalline {
namespace {

// Completions are batched for this long, so that several of one job share a
// commit: a twenty-fifth of the five seconds within which completions must be
// acknowledged.
constexpr Duration kCompletionBatchDelay = std::chrono::milliseconds(200);
constexpr Duration kExpiryCheckInterval = std::chrono::seconds(5);
// Base delay before a failed commit is retried. Jitter adds up to the same time
// again.
constexpr Duration kRetryDelay = std::chrono::milliseconds(120);
// Number of tries of a commit that the store neither answers nor applies, after
// which its records are isolated. Those of an isolated commit are put off after
// each try, so that the others go on.
constexpr int kMaxUnstoredTries = 2;
// Number of times in a row that the store refuses a commit as if it was
// unavailable, after which a commit without records shows whether it is.
constexpr int kMaxRefusedTries = 3;
// Callers wait this long for a commit with an unknown outcome. Less than half
// of the longest timeout of a caller, which leaves time for a second request.
constexpr Duration kCallerTimeout = std::chrono::milliseconds(900);

void SendBatch(SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  const HolderTerm term = tables.term_;
  const std::int64_t sequence = term.sequence() + 1;
  tables.term_ = HolderTerm::Builder(term).sequence(sequence).Build();
  const HolderRecord record = HolderRecord::Builder()
                                  .epoch(term.epoch())
                                  .sequence(sequence)
                                  .instance(HolderIdentity(tables.policy_))
                                  .Build();
  std::vector<KvsPut> puts;
  std::vector<std::string> removals;
  if (!batch.probes_store_) {
    puts = batch.puts_;
    removals = batch.removals_;
    batch.sequences_.push_back(sequence);
  }
  puts.push_back(MakePut(std::string(kEpochKey), record));
  if (term.restore_holder()) {
    puts.push_back(MakePut(std::string(kHolderKey), record, term.lease()));
  }
  batch.in_flight_ = true;
  CommitKeys({KvsPrecondition::Builder()
                  .key(std::string(kEpochKey))
                  .revision(term.revision())
                  .Build()},
             std::move(puts), std::move(removals), CommittingBatch(), tables,
             tick);
  tick.counters().Add(Counter::kJournalWrites);
  tick.counters().Add(Counter::kJournalRecords,
                      static_cast<std::int64_t>(batch.jobs_.size()));
}

void MarkJobStored(std::uint64_t job, Instant now, SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  const bool job_finished = IsFinalState(row->state());
  // A job that ended while its commit was in flight needs another commit.
  const bool closed = job_finished && !tables.dirty_jobs_.Contains(job);
  const bool new_job = !row->stored();
  tables.jobs_.Put(
      job,
      JobRow::Builder(*row).stored(true).closed(closed).closed_at(now).Build());
  if (closed) {
    tables.stored_progress_.erase(job);
    tables.jobs_without_checkpoints_.erase(job);
    return EraseFinishedTasks(job, tables);
  }
  if (!new_job || job_finished) return;
  const std::int32_t occurrences =
      std::max(row->record()->definition()->repeat_count(), 1);
  for (std::int32_t k = 0; k < occurrences; ++k) {
    UnlockSteps(job, k, now, tables);
  }
}

void AnswerCallers(const std::vector<CallerWaiting>& callers,
                   const SchedulerTables& tables, SchedulerTick& tick) {
  for (const CallerWaiting& caller : callers) {
    LogLine(tick, caller.withdraws() ? "job-cancel-stored" : "job-stored",
            caller.job(), {FieldMs("wait_ms", tick.now() - caller.since())});
    if (caller.withdraws()) {
      ReplyCancelled(caller.connection(), caller.ticket(), caller.job(), tables,
                     tick);
    } else {
      ReplyToEntry(caller.connection(),
                   JobStored::Builder().ticket(caller.ticket()).Build(), tick);
    }
  }
}

// Returns true if the store contains what the caller asked for.
bool IsStored(const CallerWaiting& caller, const SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(caller.job());
  if (row == nullptr) return false;
  return caller.withdraws() ? row->closed() : row->stored();
}

// Answers the callers that came while the commit that they wait for was in
// flight. No other commit of their jobs may follow.
void AnswerLateCallers(SchedulerTables& tables, SchedulerTick& tick) {
  const auto stored = std::stable_partition(
      tables.callers_.begin(), tables.callers_.end(),
      [&](const CallerWaiting& caller) { return !IsStored(caller, tables); });
  AnswerCallers({stored, tables.callers_.end()}, tables, tick);
  tables.callers_.erase(stored, tables.callers_.end());
}

// Removes the completions that a commit has stored: those of the batch, and
// those that came while it was in flight and changed nothing more. Returns the
// workers that listed them.
std::set<MemberName> TakeStoredCompletions(const CommitBatch& batch,
                                           SchedulerTables& tables) {
  std::set<MemberName> workers;
  for (const UnacknowledgedCompletion& end : batch.completions_) {
    workers.insert(end.worker());
  }
  std::erase_if(
      tables.unacknowledged_completions_,
      [&](const UnacknowledgedCompletion& end) {
        const bool in_batch =
            std::find(batch.completions_.begin(), batch.completions_.end(),
                      end) != batch.completions_.end();
        const bool stored = in_batch || !HasUnstoredChanges(end.job(), tables);
        if (stored) workers.insert(end.worker());
        return stored;
      });
  return workers;
}

void FinishCommit(std::int64_t revision, SchedulerTables& tables,
                  SchedulerTick& tick) {
  const CommitBatch batch = std::move(*tables.commit_);
  tables.commit_.reset();
  tables.store_failing_since_.reset();
  // Changes that exceeded the limit of this commit are committed without delay.
  tables.next_commit_ = tables.dirty_jobs_.size() > kMaxCommitEntries
                            ? tick.now()
                            : tick.now() + tables.policy_.commit_pause();
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .revision(revision)
                     .restore_holder(false)
                     .Build();
  ConfirmEpochAt(batch.since_, tables);
  MarkUnitsStored(batch, tables);
  for (const auto& [job, parts] : batch.progress_) {
    tables.stored_progress_[job] = parts;
  }
  for (const std::uint64_t job : batch.jobs_) {
    MarkJobStored(job, tick.now(), tables);
  }
  for (const std::uint64_t job : batch.expired_) {
    tables.expired_jobs_.erase(job);
    tables.jobs_.Erase(job);
  }
  const std::set<MemberName> workers = TakeStoredCompletions(batch, tables);
  ApplyLostWorkerChanges(batch, tables);
  ApplyHandovers(batch, tables);
  MarkSuspectsStored(batch.suspects_, tables);
  AnswerCallers(batch.callers_, tables, tick);
  AnswerLateCallers(tables, tick);
  AcknowledgeCompletions(workers, tables, tick);
}

void RetryCommit(bool uncertain, SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  batch.in_flight_ = false;
  batch.uncertain_ = uncertain;
  batch.next_try_ = tick.now() + kRetryDelay +
                    Duration(UniformInt(tick.random(), kRetryDelay.count()));
  // An isolated commit says nothing about others.
  if (!tables.store_failing_since_ && !batch.isolated_) {
    tables.store_failing_since_ = tick.now();
  }
}

// Handles the result of a commit without the records of the batch. If the store
// accepts it, it refuses the records and not everything.
void HandleStoreProbe(const KvsResult& result, SchedulerTables& tables,
                      SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  batch.probes_store_ = false;
  batch.refused_tries_ = 0;
  if (const auto* done = std::get_if<KvsCommitted>(&result)) {
    tables.term_ = HolderTerm::Builder(tables.term_)
                       .revision(done->revision())
                       .restore_holder(false)
                       .Build();
    tables.store_failing_since_.reset();
    return HandleRefusedCommit(tables, tick);
  }
  const auto* failed = std::get_if<KvsFailed>(&result);
  const bool not_done = std::holds_alternative<KvsRejected>(result) ||
                        (failed != nullptr && failed->not_done());
  RetryCommit(!not_done, tables, tick);
}

// Handles a commit that the store has certainly not done, without a word on its
// content: usually it is unavailable or has too many calls.
void HandleNotDone(SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  batch.sequences_.clear();
  if (batch.isolated_) return HandleRefusedCommit(tables, tick);
  RetryCommit(false, tables, tick);
  batch.probes_store_ = ++batch.refused_tries_ >= kMaxRefusedTries;
}

// Selects closed jobs whose final state has been available for the configured
// time; the next commits remove them.
void CollectExpiredJobs(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.next_expiry_check_) return;
  tables.next_expiry_check_ = tick.now() + kExpiryCheckInterval;
  for (const auto& [job, row] : tables.jobs_) {
    // The definition of a closed job is cleared together with its tasks.
    const bool record_cleared = row.record()->definition()->steps().empty();
    if (!row.closed() || !record_cleared) continue;
    if (tick.now() - row.closed_at() < tables.policy_.status_time()) continue;
    tables.expired_jobs_.insert(job);
  }
}

void ContinueCommit(SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  if (batch.in_flight_) return;
  if (tick.now() < batch.next_try_) return tick.WakeAt(batch.next_try_);
  if (!batch.uncertain_) return SendBatch(tables, tick);
  batch.in_flight_ = true;
  GetKey(kEpochKey, ConfirmingCommit(), tables, tick);
}

// Refuses waiting jobs that are in no commit yet while the store does not
// answer. They never run, so their callers can submit them again.
void RefuseWaitingCallers(SchedulerTables& tables, SchedulerTick& tick) {
  std::vector<CallerWaiting> remaining;
  std::set<std::uint64_t> refused;
  for (const CallerWaiting& caller : std::exchange(tables.callers_, {})) {
    const JobRow* row = tables.jobs_.Find(caller.job());
    const bool may_be_stored =
        row == nullptr || row->stored() ||
        std::find(tables.commit_->jobs_.begin(), tables.commit_->jobs_.end(),
                  caller.job()) != tables.commit_->jobs_.end() ||
        tables.rejected_records_.Find(
            JobRecordUnit::Builder().job(caller.job()).Build()) != nullptr;
    if (may_be_stored || caller.withdraws() || IsFinalState(row->state())) {
      remaining.push_back(caller);
      continue;
    }
    refused.insert(caller.job());
    RefuseStoreUnavailable(caller.connection(), caller.ticket(), caller.job(),
                           tick);
  }
  tables.callers_ = std::move(remaining);
  for (const std::uint64_t job : refused) DiscardJob(job, tables);
}

// Replies JobOutcomeUnknown to callers whose jobs are part of a commit with an
// unknown outcome, early enough for them to ask again.
void ReplyOutcomeUnknown(SchedulerTables& tables, SchedulerTick& tick) {
  for (const CallerWaiting& caller :
       std::exchange(tables.commit_->callers_, {})) {
    ReplyToEntry(caller.connection(),
                 JobOutcomeUnknown::Builder().ticket(caller.ticket()).Build(),
                 tick);
  }
}

// Handles callers of a slow commit, which indicates that the store is
// unavailable.
void HandleSlowCommit(SchedulerTables& tables, SchedulerTick& tick) {
  const Instant refuse_at = tables.commit_->since_ + kStoreTimeout;
  const Instant outcome_unknown_at = tables.commit_->since_ + kCallerTimeout;
  const bool refuses = !tables.commit_->isolated_;
  if (refuses && tick.now() >= refuse_at) RefuseWaitingCallers(tables, tick);
  if (tick.now() >= outcome_unknown_at) ReplyOutcomeUnknown(tables, tick);
  if (refuses && tick.now() < refuse_at) tick.WakeAt(refuse_at);
  if (tick.now() < outcome_unknown_at) tick.WakeAt(outcome_unknown_at);
}

}  // namespace

void AcknowledgeCompletions(const std::set<MemberName>& workers,
                            SchedulerTables& tables, SchedulerTick& tick) {
  std::map<MemberName, std::int64_t> first_unacknowledged;
  for (const UnacknowledgedCompletion& end :
       tables.unacknowledged_completions_) {
    if (workers.count(end.worker()) == 0) continue;
    const auto [entry, added] =
        first_unacknowledged.try_emplace(end.worker(), end.number());
    if (!added) entry->second = std::min(entry->second, end.number());
  }
  for (const MemberName& name : workers) {
    const WorkerRow* worker = tables.workers_.Find(name);
    if (worker == nullptr || !worker->facts()) continue;
    const auto unacknowledged = first_unacknowledged.find(name);
    const std::int64_t up_to =
        unacknowledged == first_unacknowledged.end()
            ? worker->ends_seen()
            : std::min(worker->ends_seen(), unacknowledged->second - 1);
    if (up_to <= worker->ends_noted()) continue;
    const std::int64_t born_ms = worker->facts()->born_ms();
    tables.workers_.Put(name,
                        WorkerRow::Builder(*worker).ends_noted(up_to).Build());
    const MemberRow* member = tables.members_.Find(name);
    if (member == nullptr || !member->connection()) continue;
    tick.Emit(SendToRunner::Builder()
                  .connection(*member->connection())
                  .message(AcknowledgeRunEnds::Builder()
                               .born_ms(born_ms)
                               .up_to(up_to)
                               .Build())
                  .Build());
  }
}

void CommitProgress(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  if (tables.commit_) {
    HandleSlowCommit(tables, tick);
    return ContinueCommit(tables, tick);
  }
  // A stopping holder releases the cell now.
  if (tables.release_at_ && tables.handover_changes_.empty()) return;
  CollectExpiredJobs(tables, tick);
  HoldBackRejected(tables, tick);
  const bool due_now = !tables.expired_jobs_.empty() ||
                       !tables.confirmed_lost_changes_.empty() ||
                       !tables.handover_changes_.empty() ||
                       tables.term_.restore_holder();
  const std::optional<Instant> due =
      due_now ? tick.now() : tables.dirty_jobs_.DueAt(kCompletionBatchDelay);
  const auto is_due = [&](const std::optional<Instant>& at) {
    return at && (tick.now() >= std::max(*at, tables.next_commit_) ||
                  tables.release_at_);
  };
  const std::optional<Instant> isolated_at = NextIsolatedCommit(tables);
  const bool isolated = is_due(isolated_at) && tick.now() >= *isolated_at &&
                        (!is_due(due) || !tables.isolated_last_);
  if (!isolated && !is_due(due)) {
    for (const std::optional<Instant>& at : {due, isolated_at}) {
      if (at) tick.WakeAt(std::max(*at, tables.next_commit_));
    }
    return;
  }
  tables.isolated_last_ = isolated;
  tables.commit_ = isolated ? BuildIsolatedCommit(tables, tick.now())
                            : BuildCommit(tables, tick.now());
  SendBatch(tables, tick);
}

void HandleCommit(const KvsResult& result, SchedulerTables& tables,
                  SchedulerTick& tick) {
  if (!IsActing(tables) || !tables.commit_) return;
  if (tables.commit_->probes_store_) {
    return HandleStoreProbe(result, tables, tick);
  }
  if (const auto* done = std::get_if<KvsCommitted>(&result)) {
    return FinishCommit(done->revision(), tables, tick);
  }
  // No try of this content was accepted, so it does not matter whether earlier
  // ones were answered.
  if (std::holds_alternative<KvsRejected>(result)) {
    return HandleRejectedCommit(tables, tick);
  }
  const auto* failed = std::get_if<KvsFailed>(&result);
  const bool not_done = failed != nullptr && failed->not_done();
  LogLine(tick, "commit-unanswered", 0,
          {Field("epoch", tables.term_.epoch()),
           Field("sequence", tables.term_.sequence()),
           Field("not_done", not_done ? 1 : 0)});
  // A retry that certainly failed does not settle the outcome of the tries
  // before it.
  const bool first_try = tables.commit_->sequences_.size() == 1;
  if (not_done && first_try) return HandleNotDone(tables, tick);
  tables.commit_->refused_tries_ = 0;
  RetryCommit(true, tables, tick);
  const bool conflict = std::holds_alternative<KvsConflict>(result);
  if (conflict) tables.commit_->next_try_ = tick.now();
}

void HandleCommitCheck(const KvsResult& result, SchedulerTables& tables,
                       SchedulerTick& tick) {
  if (!IsActing(tables) || !tables.commit_) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return RetryCommit(true, tables, tick);
  const HolderRecord* stored = HolderRecordIn(*read);
  if (stored == nullptr || stored->epoch() != tables.term_.epoch() ||
      stored->instance() != HolderIdentity(tables.policy_)) {
    return StepDown("the store shows another epoch", tables, tick);
  }
  const auto& tries = tables.commit_->sequences_;
  const bool done =
      std::find(tries.begin(), tries.end(), stored->sequence()) != tries.end();
  if (done) {
    return FinishCommit(read->items().front().revision(), tables, tick);
  }
  // Another revision is that of an abandoned commit which was applied late.
  const std::int64_t revision = read->items().front().revision();
  const bool nothing_applied = revision == tables.term_.revision();
  tables.term_ = HolderTerm::Builder(tables.term_).revision(revision).Build();
  CommitBatch& batch = *tables.commit_;
  if (nothing_applied) ++batch.unstored_tries_;
  const int max_tries = batch.isolated_ ? 1 : kMaxUnstoredTries;
  if (batch.unstored_tries_ >= max_tries) {
    return HandleUnstoredCommit(tables, tick);
  }
  SendBatch(tables, tick);
}

}  // namespace quetzalline
