#include "systems/scheduler/commit_progress.h"

#include <algorithm>

#include "systems/cell/cell_keys.h"
#include "systems/cell/log_fields.h"
#include "systems/scheduler/admit_jobs.h"
#include "systems/scheduler/call_kvs.h"
#include "systems/scheduler/campaign.h"
#include "systems/scheduler/open_job.h"
#include "systems/scheduler/track_vacancy.h"

namespace quetzalline {
namespace {

// The store takes 32 entries in a commit, three of which are the expectation,
// the epoch's key and the holder's key.
constexpr std::size_t kMostEntriesInCommit = 29;
// Entries that one job takes at most.
constexpr std::size_t kMostEntriesOfJob = 2;
// Expired jobs that one commit removes, an entry each.
constexpr std::size_t kMostExpiredInCommit = 4;
// Ends of tasks are gathered for this long, so that several of one job are kept
// at once: a twenty-fifth of the five seconds in which ends have to be noted.
constexpr Duration kProgressPause = std::chrono::milliseconds(200);
constexpr Duration kExpiryLook = std::chrono::seconds(5);
// Pause before a commit that failed is tried again, up to twice this.
constexpr Duration kRetryPause = std::chrono::milliseconds(120);
// Callers wait this long for a commit whose outcome is unknown: less than half
// of what the most patient of them allow.
constexpr Duration kCallerPatience = std::chrono::milliseconds(900);

void AddJobToBatch(std::uint64_t job, SchedulerTables& tables,
                   CommitBatch& batch) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  batch.jobs_.push_back(job);
  const bool over = IsOver(row->state());
  const bool new_job = !row->stored();
  if (new_job && !over) {
    batch.puts_.push_back(PutOf(JobKey(job), *row->record()));
  }
  if (over && !new_job) batch.removals_.push_back(JobKey(job));
  if (over || !new_job) {
    batch.puts_.push_back(PutOf(ProgressKey(job), ProgressOf(job, tables)));
  }
}

bool IsFull(const CommitBatch& batch) {
  return batch.puts_.size() + batch.removals_.size() + kMostEntriesOfJob >
         kMostEntriesInCommit;
}

// Adds the jobs that are behind, those that a caller waits for first.
void AddJobs(SchedulerTables& tables, CommitBatch& batch) {
  std::vector<std::uint64_t> order;
  for (const CallerWaiting& caller : tables.callers_) {
    if (tables.dirty_jobs_.Contains(caller.job())) {
      order.push_back(caller.job());
    }
  }
  for (const auto& [entry, job] : tables.dirty_jobs_.entries()) {
    if (order.size() >= tables.callers_.size() + kMostEntriesInCommit) break;
    order.push_back(job);
  }
  for (const std::uint64_t job : order) {
    if (IsFull(batch)) return;
    if (!tables.dirty_jobs_.Contains(job)) continue;
    tables.dirty_jobs_.Erase(job);
    AddJobToBatch(job, tables, batch);
  }
}

CommitBatch BuildBatch(SchedulerTables& tables, Instant now) {
  CommitBatch batch;
  batch.since_ = now;
  AddVacancies(kMostEntriesInCommit, tables, batch);
  AddJobs(tables, batch);
  for (const std::uint64_t job : tables.expired_jobs_) {
    if (batch.expired_.size() >= kMostExpiredInCommit || IsFull(batch)) break;
    batch.expired_.push_back(job);
    batch.removals_.push_back(ProgressKey(job));
  }
  const auto in_batch = [&](std::uint64_t job) {
    return std::find(batch.jobs_.begin(), batch.jobs_.end(), job) !=
           batch.jobs_.end();
  };
  for (const UnnotedEnd& end : tables.unnoted_ends_) {
    if (in_batch(end.job())) batch.ends_.push_back(end);
  }
  std::vector<CallerWaiting> others;
  for (const CallerWaiting& caller : tables.callers_) {
    (in_batch(caller.job()) ? batch.callers_ : others).push_back(caller);
  }
  tables.callers_ = std::move(others);
  return batch;
}

void Send(SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  const HolderTerm term = tables.term_;
  const std::int64_t sequence = term.sequence() + 1;
  tables.term_ = HolderTerm::Builder(term).sequence(sequence).Build();
  const HolderRecord record = HolderRecord::Builder()
                                  .epoch(term.epoch())
                                  .sequence(sequence)
                                  .instance(HolderSignature(tables.policy_))
                                  .Build();
  std::vector<KvsPut> puts = batch.puts_;
  puts.push_back(PutOf(std::string(kEpochKey), record));
  if (term.restore_holder()) {
    puts.push_back(PutOf(std::string(kHolderKey), record, term.lease()));
  }
  batch.sequences_.push_back(sequence);
  batch.in_flight_ = true;
  CommitKeys({KvsExpectation::Builder()
                  .key(std::string(kEpochKey))
                  .revision(term.revision())
                  .Build()},
             std::move(puts), batch.removals_, CommittingBatch(), tables, tick);
  tick.counters().Add(Counter::kJournalWrites);
  tick.counters().Add(Counter::kJournalRecords,
                      static_cast<std::int64_t>(batch.jobs_.size()));
}

void MarkJobKept(std::uint64_t job, Instant now, SchedulerTables& tables) {
  const JobRow* row = tables.jobs_.Find(job);
  if (row == nullptr) return;
  const bool over = IsOver(row->state());
  // A job that ended while its commit was under way is not closed by it.
  const bool closed = over && !tables.dirty_jobs_.Contains(job);
  const bool new_job = !row->stored();
  tables.jobs_.Put(
      job,
      JobRow::Builder(*row).stored(true).closed(closed).closed_at(now).Build());
  if (closed) return EraseQuietTasks(job, tables);
  if (!new_job || over) return;
  const std::int32_t occurrences =
      std::max(row->record()->definition()->repeat_count(), 1);
  for (std::int32_t k = 0; k < occurrences; ++k) {
    UnlockSteps(job, k, now, tables);
  }
}

void AnswerCallers(const CommitBatch& batch, SchedulerTick& tick) {
  for (const CallerWaiting& caller : batch.callers_) {
    LogLine(tick, caller.withdraws() ? "job-cancel-kept" : "job-kept",
            caller.job(), {FieldMs("wait_ms", tick.now() - caller.since())});
    if (caller.withdraws()) {
      AnswerEntry(caller.connection(),
                  JobWithdrawn::Builder().ticket(caller.ticket()).Build(),
                  tick);
    } else {
      AnswerEntry(caller.connection(),
                  JobStored::Builder().ticket(caller.ticket()).Build(), tick);
    }
  }
}

void FinishCommit(std::int64_t revision, SchedulerTables& tables,
                  SchedulerTick& tick) {
  const CommitBatch batch = std::move(*tables.commit_);
  tables.commit_.reset();
  tables.store_failing_since_.reset();
  // What did not fit into this commit is not kept waiting.
  tables.next_commit_ = tables.dirty_jobs_.size() > kMostEntriesInCommit
                            ? tick.now()
                            : tick.now() + tables.policy_.commit_pause();
  tables.term_ = HolderTerm::Builder(tables.term_)
                     .revision(revision)
                     .restore_holder(false)
                     .confirmed_at(tick.now())
                     .Build();
  for (const std::uint64_t job : batch.jobs_) {
    MarkJobKept(job, tick.now(), tables);
  }
  for (const std::uint64_t job : batch.expired_) {
    tables.expired_jobs_.erase(job);
    tables.jobs_.Erase(job);
  }
  auto& open = tables.unnoted_ends_;
  open.erase(std::remove_if(open.begin(), open.end(),
                            [&](const UnnotedEnd& end) {
                              return std::find(batch.ends_.begin(),
                                               batch.ends_.end(),
                                               end) != batch.ends_.end();
                            }),
             open.end());
  OpenOccupied(batch, tables);
  AnswerCallers(batch, tick);
  NoteKeptEnds(tables, tick);
}

void RetryCommit(bool uncertain, SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  batch.in_flight_ = false;
  batch.uncertain_ = uncertain;
  batch.next_try_ = tick.now() + kRetryPause +
                    Duration(UniformInt(tick.random(), kRetryPause.count()));
  if (!tables.store_failing_since_) tables.store_failing_since_ = tick.now();
}

// The state of a job is told for a while after its end, and then forgotten.
void FindExpired(SchedulerTables& tables, SchedulerTick& tick) {
  if (tick.now() < tables.next_expiry_look_) return;
  tables.next_expiry_look_ = tick.now() + kExpiryLook;
  for (const auto& [job, row] : tables.jobs_) {
    // The record of a closed job is dropped with its tasks.
    const bool quiet = row.record()->definition()->steps().empty();
    if (!row.closed() || !quiet) continue;
    if (tick.now() - row.closed_at() < tables.policy_.status_time()) continue;
    tables.expired_jobs_.insert(job);
  }
}

void ContinueCommit(SchedulerTables& tables, SchedulerTick& tick) {
  CommitBatch& batch = *tables.commit_;
  if (batch.in_flight_) return;
  if (tick.now() < batch.next_try_) return tick.WakeAt(batch.next_try_);
  if (!batch.uncertain_) return Send(tables, tick);
  batch.in_flight_ = true;
  GetKey(kEpochKey, ConfirmingCommit(), tables, tick);
}

// While the store does not answer, jobs that no commit holds yet are refused:
// they never run, and their callers can come back in time.
void RefuseWaiting(SchedulerTables& tables, SchedulerTick& tick) {
  std::vector<CallerWaiting> kept;
  std::set<std::uint64_t> refused;
  for (const CallerWaiting& caller : std::exchange(tables.callers_, {})) {
    const JobRow* row = tables.jobs_.Find(caller.job());
    const bool tried =
        row == nullptr || row->stored() ||
        std::find(tables.commit_->jobs_.begin(), tables.commit_->jobs_.end(),
                  caller.job()) != tables.commit_->jobs_.end();
    if (tried || caller.withdraws() || IsOver(row->state())) {
      kept.push_back(caller);
      continue;
    }
    refused.insert(caller.job());
    RefuseForStore(caller.connection(), caller.ticket(), caller.job(), tick);
  }
  tables.callers_ = std::move(kept);
  for (const std::uint64_t job : refused) ForgetJob(job, tables);
}

// Callers whose jobs a commit holds whose outcome is unknown are told so in
// time to ask again.
void TellUndecided(SchedulerTables& tables, SchedulerTick& tick) {
  for (const CallerWaiting& caller :
       std::exchange(tables.commit_->callers_, {})) {
    AnswerEntry(caller.connection(),
                JobUndecided::Builder().ticket(caller.ticket()).Build(), tick);
  }
}

// A commit that takes long is a sign that the store is away.
void LookAfterCallers(SchedulerTables& tables, SchedulerTick& tick) {
  const Instant refuse_at = tables.commit_->since_ + kStorePatience;
  const Instant undecided_at = tables.commit_->since_ + kCallerPatience;
  if (tick.now() >= refuse_at) RefuseWaiting(tables, tick);
  if (tick.now() >= undecided_at) TellUndecided(tables, tick);
  if (tick.now() < refuse_at) tick.WakeAt(refuse_at);
  if (tick.now() < undecided_at) tick.WakeAt(undecided_at);
}

}  // namespace

void NoteKeptEnds(SchedulerTables& tables, SchedulerTick& tick) {
  std::map<MemberName, std::int64_t> first_open;
  for (const UnnotedEnd& end : tables.unnoted_ends_) {
    const auto [entry, added] =
        first_open.try_emplace(end.worker(), end.number());
    if (!added) entry->second = std::min(entry->second, end.number());
  }
  std::vector<std::pair<MemberName, WorkerRow>> changed;
  for (const auto& [name, worker] : tables.workers_) {
    const auto open = first_open.find(name);
    const std::int64_t up_to =
        open == first_open.end()
            ? worker.ends_seen()
            : std::min(worker.ends_seen(), open->second - 1);
    if (up_to <= worker.ends_noted() || !worker.facts()) continue;
    changed.emplace_back(name,
                         WorkerRow::Builder(worker).ends_noted(up_to).Build());
    const MemberRow* member = tables.members_.Find(name);
    if (member == nullptr || !member->connection()) continue;
    tick.Emit(SendToRunner::Builder()
                  .connection(*member->connection())
                  .message(NoteEnds::Builder()
                               .born_ms(worker.facts()->born_ms())
                               .up_to(up_to)
                               .Build())
                  .Build());
  }
  for (auto& [name, row] : changed) tables.workers_.Put(name, std::move(row));
}

void CommitProgress(SchedulerTables& tables, SchedulerTick& tick) {
  if (!IsActing(tables)) return;
  if (tables.commit_) {
    LookAfterCallers(tables, tick);
    return ContinueCommit(tables, tick);
  }
  FindExpired(tables, tick);
  const bool now_wanted = !tables.expired_jobs_.empty() ||
                          !tables.vacancy_changes_.empty() ||
                          tables.term_.restore_holder();
  const std::optional<Instant> due =
      now_wanted ? tick.now() : tables.dirty_jobs_.DueAt(kProgressPause);
  if (!due) return;
  const Instant commit_at = std::max(*due, tables.next_commit_);
  if (tick.now() < commit_at) return tick.WakeAt(commit_at);
  tables.commit_ = BuildBatch(tables, tick.now());
  Send(tables, tick);
}

void TakeCommit(const KvsResult& result, SchedulerTables& tables,
                SchedulerTick& tick) {
  if (!IsActing(tables) || !tables.commit_) return;
  if (const auto* done = std::get_if<KvsCommitted>(&result)) {
    return FinishCommit(done->revision(), tables, tick);
  }
  const auto* failed = std::get_if<KvsFailed>(&result);
  const bool not_done = failed != nullptr && failed->not_done();
  LogLine(tick, "commit-unanswered", 0,
          {Field("epoch", tables.term_.epoch()),
           Field("sequence", tables.term_.sequence()),
           Field("not_done", not_done ? 1 : 0)});
  // A tried commit that surely failed leaves earlier tries as they were.
  const bool first = tables.commit_->sequences_.size() == 1;
  RetryCommit(!(not_done && first), tables, tick);
  if (not_done && first) tables.commit_->sequences_.clear();
  const bool refused = std::holds_alternative<KvsConflict>(result);
  if (refused) tables.commit_->next_try_ = tick.now();
}

void TakeCommitCheck(const KvsResult& result, SchedulerTables& tables,
                     SchedulerTick& tick) {
  if (!IsActing(tables) || !tables.commit_) return;
  const auto* read = std::get_if<KvsItems>(&result);
  if (read == nullptr) return RetryCommit(true, tables, tick);
  const HolderRecord* kept = HolderIn(*read);
  if (kept == nullptr || kept->epoch() != tables.term_.epoch() ||
      kept->instance() != HolderSignature(tables.policy_)) {
    return StepDown("a later epoch is kept", tables, tick);
  }
  const auto& tries = tables.commit_->sequences_;
  const bool done =
      std::find(tries.begin(), tries.end(), kept->sequence()) != tries.end();
  if (done) {
    return FinishCommit(read->items().front().revision(), tables, tick);
  }
  Send(tables, tick);
}

}  // namespace quetzalline
