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
#include "tables/caller_waiting.h"
#include "tables/commit_batch.h"
#include "tables/dirty_jobs.h"
#include "tables/holder_stage.h"
#include "tables/holder_term.h"
#include "tables/image_pair.h"
#include "tables/image_press.h"
#include "tables/job_row.h"
#include "tables/job_task_table.h"
#include "tables/kvs_pending.h"
#include "tables/member_row.h"
#include "tables/scheduler_policy.h"
#include "tables/serving_tail.h"
#include "tables/step_row.h"
#include "tables/tail_key.h"
#include "tables/unnoted_end.h"
#include "tables/worker_row.h"

namespace quetzalline {

/// What a scheduler node knows. Everything from configuration_ on belongs to
/// one term as the holder and is read anew in the next.
struct SchedulerTables {
  SchedulerPolicy policy_;
  Counters counters_;
  Table<std::uint64_t, KvsPending> store_calls_;
  std::uint64_t last_ticket_ = 0;
  HolderStage stage_;
  HolderTerm term_;
  /// Counts the terms of this process, so that late answers are told apart.
  std::int64_t term_number_ = 0;
  /// When the store is asked next who holds the cell.
  Instant next_look_;
  /// Smoothed time of a read of the store.
  Duration store_round_trip_{};
  bool stopping_ = false;

  SchedulerConfiguration configuration_;
  std::vector<KvsItem> loaded_items_;
  /// Prefixes still to be read at the start of a term: asked for, or failed.
  std::set<std::string> loads_open_;
  std::set<std::string> loads_failed_;
  /// The time of day less the monotonic clock, in milliseconds.
  std::int64_t wall_offset_ms_ = 0;
  Table<MemberName, MemberRow> members_;
  std::map<ConnectionId, MemberName> connections_;
  std::int64_t last_session_ = 0;
  std::int64_t members_revision_ = 0;
  std::int64_t configuration_revision_ = 0;
  std::optional<Instant> members_retry_at_;
  std::optional<Instant> configuration_retry_at_;
  Table<MemberName, WorkerRow> workers_;
  /// Workers of which the store may say that nothing runs there. Nothing is
  /// started on them before it says so no more.
  std::set<MemberName> vacant_;
  /// What the next commit says anew of that.
  std::map<MemberName, bool> vacancy_changes_;
  /// What is learnt of neighbours, by image.
  Table<ImagePair, ImagePress> press_;
  Table<TailKey, ServingTail> tails_;
  Table<std::uint64_t, JobRow> jobs_;
  Table<StepKey, StepRow> steps_;
  JobTaskTable tasks_;
  /// Runs that a worker lists although it should not have them. What they take
  /// of it is not known.
  std::map<MemberName, std::set<RunKey>> strays_;
  /// Jobs whose kept record is behind what is known.
  DirtyJobs dirty_jobs_;
  std::vector<UnnotedEnd> unnoted_ends_;
  std::vector<CallerWaiting> callers_;
  /// Jobs whose state need not be told any longer.
  std::set<std::uint64_t> expired_jobs_;
  Instant next_expiry_look_;
  std::optional<CommitBatch> commit_;
  Instant next_commit_;
  /// When the store last failed a commit; empty once one succeeded.
  std::optional<Instant> store_failing_since_;
  /// Reports of this tick that a lease is granted for.
  std::map<ConnectionId, std::int64_t> grants_due_;
  Instant next_confirm_;
  /// Until then, what is heard may have waited while the process stood still.
  Instant suspect_until_;
  Instant last_tick_;
  Instant next_beat_;
  /// Whether something changed that may let work be placed.
  bool placement_due_ = false;
  Instant next_placement_;
  /// Changes before then are gathered.
  Instant earliest_placement_;
  /// When the log may say again why work waits, by whether the work fills.
  std::map<bool, Instant> next_wait_lines_;
  Instant next_occurrence_look_;
  Instant next_preemption_;
  Instant next_consolidation_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SCHEDULER_TABLES_H_
