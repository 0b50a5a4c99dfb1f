#ifndef QUETZALLINE_TABLES_COMMIT_BATCH_H_
#define QUETZALLINE_TABLES_COMMIT_BATCH_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/task_key.h"
#include "core/time.h"
#include "messages/kvs_put.h"
#include "records/job_progress.h"
#include "tables/caller_waiting.h"
#include "tables/suspect_row.h"
#include "tables/unacknowledged_completion.h"

namespace quetzalline {

/// A commit in progress, with the state changes that take effect once it is
/// stored. A commit without an answer is retried with the same content, so it
/// does not matter which of the attempts the store applied.
struct CommitBatch {
  std::vector<KvsPut> puts_;
  std::vector<std::string> removals_;
  /// Jobs whose records the commit contains.
  std::vector<std::uint64_t> jobs_;
  /// The progress of those that have several parts.
  std::map<std::uint64_t, std::vector<JobProgress>> progress_;
  /// True if the commit contains rejected records and no others, or nothing.
  bool isolated_ = false;
  /// Closed jobs whose state is no longer reported; their progress records are
  /// removed.
  std::vector<std::uint64_t> expired_;
  /// Task completions that may be acknowledged once the commit is stored.
  std::vector<UnacknowledgedCompletion> completions_;
  /// Workers that the commit records as confirmed lost.
  std::vector<MemberName> lost_workers_;
  /// Workers that no longer count as confirmed lost once the commit is stored.
  std::vector<MemberName> recovered_workers_;
  /// Workers whose handover records the commit writes.
  std::vector<MemberName> handed_over_workers_;
  /// Workers whose handover records the commit removes.
  std::vector<MemberName> returned_workers_;
  /// Suspects whose evidence the commit contains.
  std::vector<std::pair<TaskKey, SuspectRow>> suspects_;
  /// Callers that are answered once the commit is stored.
  std::vector<CallerWaiting> callers_;
  Instant since_;
  /// Sequence numbers of the attempts; the store may have applied any of them.
  std::vector<std::int64_t> sequences_;
  /// True while a store call about the commit is in flight.
  bool in_flight_ = false;
  /// True if the outcome of the last attempt is unknown and has to be read from
  /// the store.
  bool uncertain_ = false;
  /// Number of attempts with an unknown outcome that the store showed, when it
  /// was read, not to have been applied.
  int unstored_tries_ = 0;
  /// Number of attempts in a row that the store refused without a word on their
  /// content.
  int refused_tries_ = 0;
  /// True while the next attempt, or the one in flight, contains none of the
  /// records, to find out whether the store refuses other commits as well.
  bool probes_store_ = false;
  /// Earliest time of the next attempt.
  Instant next_try_;

  friend auto operator<=>(const CommitBatch&, const CommitBatch&) = default;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_COMMIT_BATCH_H_
