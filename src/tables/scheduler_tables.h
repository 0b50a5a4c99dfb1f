#ifndef QUETZALLINE_TABLES_SCHEDULER_TABLES_H_
#define QUETZALLINE_TABLES_SCHEDULER_TABLES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/ids.h"
#include "core/run_key.h"
#include "core/scheduler_configuration.h"
#include "core/table.h"
#include "messages/kvs_item.h"
#include "records/job_progress.h"
#include "tables/caller_waiting.h"
#include "tables/commit_batch.h"
#include "tables/crash_row.h"
#include "tables/dirty_jobs.h"
#include "tables/handover_row.h"
#include "tables/holder_stage.h"
#include "tables/holder_term.h"
#include "tables/idle_job.h"
#include "tables/idle_spells.h"
#include "tables/image_interference.h"
#include "tables/image_pair.h"
#include "tables/job_row.h"
#include "tables/job_task_table.h"
#include "tables/kvs_pending.h"
#include "tables/member_row.h"
#include "tables/observed_handover.h"
#include "tables/record_unit.h"
#include "tables/rejected_record.h"
#include "tables/scheduler_policy.h"
#include "tables/serving_tail.h"
#include "tables/step_row.h"
#include "tables/suspect_row.h"
#include "tables/tail_key.h"
#include "tables/unacknowledged_completion.h"
#include "tables/worker_row.h"

namespace quetzalline {

/// The state of a scheduler. The members from configuration_ on belong to one
/// term as the holder of the cell and are loaded again in the next term.
struct SchedulerTables {
  SchedulerPolicy policy_;
  Counters counters_;
  Table<std::uint64_t, KvsPending> store_calls_;
  std::uint64_t last_ticket_ = 0;
  HolderStage stage_;
  HolderTerm term_;
  /// Number of the term in this process; distinguishes late answers of earlier
  /// terms.
  std::int64_t term_number_ = 0;
  /// Time of the next read of the holder's key.
  Instant next_holder_read_;
  /// Smoothed round-trip time of a store read.
  Duration store_round_trip_{};
  bool stopping_ = false;
  /// Handover records that were seen while another process held the cell.
  std::map<MemberName, ObservedHandover> observed_handovers_;
  /// Revision up to which they were seen; 0 if they have to be listed.
  std::int64_t handovers_revision_ = 0;
  /// True while a list or watch of these records is in flight.
  bool observing_handovers_ = false;
  Instant next_observation_;
  /// Time since which these records have been seen; empty before the first
  /// list.
  std::optional<Instant> observing_since_;

  SchedulerConfiguration configuration_;
  std::vector<KvsItem> loaded_items_;
  /// Key prefixes whose reads are in flight at the start of a term.
  std::set<std::string> pending_loads_;
  /// Key prefixes whose reads failed and will be retried.
  std::set<std::string> failed_loads_;
  /// Wall-clock time minus monotonic time, in milliseconds.
  std::int64_t wall_offset_ms_ = 0;
  Table<MemberName, MemberRow> members_;
  std::map<ConnectionId, MemberName> connections_;
  std::int64_t last_session_ = 0;
  std::int64_t members_revision_ = 0;
  std::int64_t configuration_revision_ = 0;
  std::optional<Instant> members_retry_at_;
  std::optional<Instant> configuration_retry_at_;
  Table<MemberName, WorkerRow> workers_;
  /// Workers that the store may record as confirmed lost, which means that
  /// nothing runs there. Nothing is started on them until that record is
  /// removed.
  std::set<MemberName> confirmed_lost_;
  /// Workers that the store certainly records as confirmed lost.
  std::set<MemberName> stored_lost_;
  /// Changes to these records for the next commit: true adds, false removes.
  std::map<MemberName, bool> confirmed_lost_changes_;
  /// What the previous holder left about workers, and what is left to the next.
  Table<MemberName, HandoverRow> handovers_;
  /// Changes to these records for the next commit: true writes, false removes.
  std::map<MemberName, bool> handover_changes_;
  /// Time at which a stopping holder releases the cell, whether or not it has
  /// handed over all workers; empty unless it stops.
  std::optional<Instant> release_at_;
  /// Estimated interference between images.
  Table<ImagePair, ImageInterference> interference_;
  Table<TailKey, ServingTail> tails_;
  Table<std::uint64_t, JobRow> jobs_;
  Table<StepKey, StepRow> steps_;
  JobTaskTable tasks_;
  /// Tasks under which workers have crashed.
  Table<TaskKey, SuspectRow> suspects_;
  /// Crashes that were reported in this term, by runner and start of the lost
  /// incarnation.
  Table<std::pair<MemberName, std::int64_t>, CrashRow> crashes_;
  /// Runs that a worker lists or may still run without being assigned to it.
  /// The resources that they take are unknown.
  std::map<MemberName, std::set<RunKey>> orphaned_runs_;
  /// Jobs whose stored record is outdated.
  DirtyJobs dirty_jobs_;
  /// Records that the store has rejected, and those that were in a rejected
  /// commit. The rows contain their changes; the sets of changes do not.
  Table<RecordUnit, RejectedRecord> rejected_records_;
  /// Jobs whose checkpoints are not stored, because the store has rejected
  /// their progress.
  std::set<std::uint64_t> jobs_without_checkpoints_;
  std::int64_t last_rejected_group_ = 0;
  /// New jobs that the store has rejected; they are refused at once.
  std::set<std::uint64_t> unstorable_jobs_;
  /// True if the last commit contained only such records.
  bool isolated_last_ = false;
  /// The parts of the progress of jobs of several parts, as they are stored.
  std::map<std::uint64_t, std::vector<JobProgress>> stored_progress_;
  /// Completions that are acknowledged once their effect is stored.
  std::vector<UnacknowledgedCompletion> unacknowledged_completions_;
  /// Callers that wait for a commit.
  std::vector<CallerWaiting> callers_;
  /// Closed jobs whose status no longer has to be available.
  std::set<std::uint64_t> expired_jobs_;
  /// Time of the next search for expired jobs.
  Instant next_expiry_check_;
  std::optional<CommitBatch> commit_;
  Instant next_commit_;
  /// Time at which commits began to fail; empty once one succeeds.
  std::optional<Instant> store_failing_since_;
  /// Numbers of the reports of this tick for which a lease is granted, by
  /// connection.
  std::map<ConnectionId, std::int64_t> grants_due_;
  /// Earliest time of the next read that confirms the epoch.
  Instant next_confirm_;
  /// Until this time, messages from runners do not prove contact, since they
  /// may have waited while the process was stalled.
  Instant contact_untrusted_until_;
  Instant last_tick_;
  /// Last time at which no majority of the runners was in contact.
  Instant majority_missed_at_;
  /// The time for which this process has attended to its inputs, as an instant:
  /// the time of its first tick, and what it has attended since.
  Instant attention_;
  /// Time of the last tick that counted for it.
  Instant attended_at_;
  /// Longest time between two ticks in this term.
  Duration longest_pause_{};
  Instant next_pause_log_;
  /// Number of tasks that a tick may start; fewer while ticks take long.
  std::int32_t starts_per_tick_ = 1;
  /// True if the last placement left tasks to the next tick.
  bool starts_limited_ = false;
  /// Time of the next walk over all members and workers.
  Instant next_walk_;
  /// Time of the next heartbeat to the entries.
  Instant next_entry_heartbeat_;
  /// True if a change may allow waiting work to be placed.
  bool placement_due_ = false;
  Instant next_placement_;
  /// Earliest time of the next placement pass, so that several changes are
  /// handled in one pass.
  Instant earliest_placement_;
  /// Earliest time of the next log line about waiting work; true is best-effort
  /// work, false all other work.
  std::map<bool, Instant> next_wait_log_;
  /// Jobs that have nothing running although a task of theirs is ready, as of
  /// the last placement pass.
  Table<std::uint64_t, IdleJob> idle_jobs_;
  /// Earliest time of the next log line about idle jobs.
  Instant next_idle_log_;
  /// The jobs that have been seen with nothing running, whatever the cause, and
  /// have not ended.
  Table<std::uint64_t, IdleSpells> idle_spells_;
  /// Time of the next search for them.
  Instant next_idle_check_;
  /// Time of the next search among all jobs.
  Instant next_full_idle_check_;
  /// True if the next log line about idle jobs is kept for one that something
  /// else than the choice of a worker holds.
  bool held_idle_line_due_ = false;
  /// Time of the next check for occurrences of recurring jobs.
  Instant next_occurrence_check_;
  Instant next_preemption_;
  Instant next_consolidation_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SCHEDULER_TABLES_H_
